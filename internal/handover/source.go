package handover

import "github.com/oleanderspool/oleanderspool"

// minGeneratedTokens is the number of generated tokens after which the inter-token
// latency of a stream is known well enough to estimate its remaining duration.
const minGeneratedTokens = 4

// Stream describes an attempt that runs on the engine.
type Stream struct {
	Attempt    oleanderspool.AttemptID
	Idempotent bool
	// Pinned means that the attempt cannot leave its engine, because it is a
	// probe that runs alone or because it runs on several engines together.
	Pinned       bool
	PromptTokens int64 // including the text that the attempt continues from
	OutputTokens int64 // upper limit of generated tokens
	Deadline     oleanderspool.Millis
}

// streamProgress is a Stream with its progress.
type streamProgress struct {
	Stream
	generated    int64
	firstTokenAt oleanderspool.Millis // instant of the first token
	lastTokenAt  oleanderspool.Millis // instant of the latest token
	offers       int
	retryAt      oleanderspool.Millis
	exported     bool // its cache was sent to another server
}

// phase is the phase of the transfer in progress.
type phase int

const (
	phaseOffered   phase = iota // offered, but not yet announced to the entry that receives the stream
	phaseAnnounced              // waiting for the export to begin
	phaseExporting
	phaseExported // waiting for the stream to switch to the target
)

// Source decides which streams the leaving agent offers. One transfer is in
// progress at a time: concurrent transfers would share the link, so none would end
// earlier, and the agent would hold several caches. A Source is not safe for
// concurrent use.
type Source struct {
	limits          Limits
	leaving         bool
	streams         map[oleanderspool.AttemptID]*streamProgress
	current         *streamProgress // the stream in transfer; nil for none
	phase           phase
	phaseDeadline   oleanderspool.Millis // instant at which the phase times out
	exportStartedAt oleanderspool.Millis // instant at which the export began
	bytesPerToken   float64              // estimated from exported caches; 0 while unknown
	linkRate        float64              // in bytes per millisecond
}

// NewSource returns the Source of an agent without streams.
func NewSource(l Limits) *Source {
	return &Source{limits: l, streams: make(map[oleanderspool.AttemptID]*streamProgress), linkRate: l.LinkRate}
}

// Started adds a stream that was submitted to the engine.
func (s *Source) Started(st Stream) {
	s.streams[st.Attempt] = &streamProgress{Stream: st}
}

// Generated records generated tokens of a stream.
func (s *Source) Generated(id oleanderspool.AttemptID, tokens int, now oleanderspool.Millis) {
	st := s.streams[id]
	if st == nil || tokens <= 0 {
		return
	}
	if st.generated == 0 {
		st.firstTokenAt = now
	}
	st.generated += int64(tokens)
	st.lastTokenAt = now
}

// Ended removes a stream that has finished, failed or moved. It reports whether
// its cache had been exported. The result does not depend on the time limits of the
// transfer: a reader may return from the target after they have passed.
func (s *Source) Ended(id oleanderspool.AttemptID) (exported bool) {
	st := s.streams[id]
	if st == nil {
		return false
	}
	delete(s.streams, id)
	if s.current == st {
		s.current = nil
	}
	return st.exported
}

// Leave marks the agent as leaving. Streams are offered only from then on.
func (s *Source) Leave() {
	s.leaving = true
}

// NextOffer chooses the stream to offer next: among those worth moving, the one
// with the longest remaining duration. prefillRate is the prefill rate of the
// engine in tokens per millisecond. NextOffer returns false if no stream is worth
// moving or another transfer is in progress.
func (s *Source) NextOffer(prefillRate float64, now oleanderspool.Millis) (oleanderspool.AttemptID, bool) {
	if s.current != nil && now >= s.phaseDeadline {
		s.abandon(now)
	}
	if !s.leaving || s.current != nil {
		return "", false
	}
	var best *streamProgress
	for _, st := range s.streams {
		if s.worthMoving(st, prefillRate, now) && (best == nil || s.movesBefore(st, best)) {
			best = st
		}
	}
	if best == nil {
		return "", false
	}
	best.offers++
	s.current = best
	s.enterPhase(phaseOffered, s.limits.OfferTimeout, now)
	return best.Attempt, true
}

// movesBefore orders streams by descending remaining duration. Attempt IDs break
// ties, so that the choice does not depend on the order of a map.
func (s *Source) movesBefore(a, b *streamProgress) bool {
	if a.remaining() != b.remaining() {
		return a.remaining() > b.remaining()
	}
	return a.Attempt < b.Attempt
}

func (s *Source) enterPhase(p phase, timeout, now oleanderspool.Millis) {
	s.phase, s.phaseDeadline = p, now+timeout
}

// abandon ends the transfer in progress as failed and delays the next offer of its
// stream.
func (s *Source) abandon(now oleanderspool.Millis) {
	s.current.retryAt = now + s.limits.Backoff
	s.current = nil
}

// worthMoving reports whether a stream may move and would gain from it.
func (s *Source) worthMoving(st *streamProgress, prefillRate float64, now oleanderspool.Millis) bool {
	if s.limits.MaxBytes == 0 || !st.Idempotent || st.Pinned || st.generated < minGeneratedTokens || st.offers >= s.limits.MaxOffers || now < st.retryAt {
		return false
	}
	bytes := s.bytesPerToken * float64(st.cacheTokens())
	transfer := oleanderspool.Millis(bytes / s.linkRate)
	prefill := oleanderspool.Millis(float64(st.cacheTokens()) / prefillRate)
	switch {
	case bytes > float64(s.limits.MaxBytes) || transfer > s.limits.TransferTimeout/2:
		return false
	case prefill < s.limits.MinPrefillTime || prefill < transfer:
		return false
	case st.remaining() < s.limits.MinRemaining+transfer:
		return false
	}
	return st.Deadline-now > transfer+s.limits.SwitchTimeout
}

// cacheTokens returns the length of the KV cache in tokens.
func (st *streamProgress) cacheTokens() int64 {
	return st.PromptTokens + st.generated
}

// remaining returns the expected duration until the answer ends if it reaches its
// token limit.
func (st *streamProgress) remaining() oleanderspool.Millis {
	if st.generated < 2 {
		return 0
	}
	interval := float64(st.lastTokenAt-st.firstTokenAt) / float64(st.generated-1)
	return oleanderspool.Millis(interval * float64(max(0, st.OutputTokens-st.generated)))
}

// MarkAnnounced marks the offer of a stream as announced to the entry that
// receives the stream. It returns false if the stream has no offer or the offer has
// already been announced.
func (s *Source) MarkAnnounced(id oleanderspool.AttemptID) bool {
	if !s.inPhase(id, phaseOffered) {
		return false
	}
	s.phase = phaseAnnounced
	return true
}

func (s *Source) inPhase(id oleanderspool.AttemptID, p phase) bool {
	return s.current != nil && s.current.Attempt == id && s.phase == p
}

// BeginExport begins the export of a stream. It returns false if the stream is not
// announced or its offer has timed out.
func (s *Source) BeginExport(id oleanderspool.AttemptID, now oleanderspool.Millis) bool {
	if !s.inPhase(id, phaseAnnounced) || now >= s.phaseDeadline {
		return false
	}
	s.exportStartedAt = now
	s.enterPhase(phaseExporting, s.limits.TransferTimeout, now)
	return true
}

// Exported records that a cache of the given size has been sent. It returns false
// if the transfer was abandoned before.
func (s *Source) Exported(id oleanderspool.AttemptID, bytes int64, now oleanderspool.Millis) bool {
	if st := s.streams[id]; st != nil {
		st.exported = true
	}
	if !s.inPhase(id, phaseExporting) {
		return false
	}
	s.bytesPerToken = float64(bytes) / float64(s.current.cacheTokens())
	s.linkRate = float64(bytes) / float64(max(1, now-s.exportStartedAt))
	// The target may still import the cache for up to TransferTimeout; the stream
	// then has SwitchTimeout to switch.
	s.enterPhase(phaseExported, s.limits.SwitchTimeout+s.limits.TransferTimeout, now)
	return true
}

// ExportTooLarge records that a cache exceeds the size limit, so that streams with
// as many or more tokens are not offered again.
func (s *Source) ExportTooLarge(id oleanderspool.AttemptID, now oleanderspool.Millis) {
	if s.inPhase(id, phaseExporting) {
		s.bytesPerToken = max(s.bytesPerToken, float64(s.limits.MaxBytes+1)/float64(s.current.cacheTokens()))
	}
	s.ExportFailed(id, now)
}

// ExportFailed records that the export of a stream failed.
func (s *Source) ExportFailed(id oleanderspool.AttemptID, now oleanderspool.Millis) {
	if s.inPhase(id, phaseExporting) {
		s.abandon(now)
	}
}
