package handover

import "github.com/oleanderspool/oleanderspool"

// minTokens is the number of generated tokens from which on the span per token
// is known well enough.
const minTokens = 4

// Stream describes an attempt that runs on the engine.
type Stream struct {
	Attempt    oleanderspool.AttemptID
	Idempotent bool
	// Pinned says that the attempt is tied to its engine: it runs alone as a
	// trial, or on several engines together.
	Pinned       bool
	PromptTokens int64 // with the text that the attempt continues from
	OutputTokens int64 // upper bound of generated tokens
	Deadline     oleanderspool.Millis
}

// stream is a stream with its progress.
type stream struct {
	Stream
	generated int64
	first     oleanderspool.Millis // instant of the first token
	last      oleanderspool.Millis // instant of the latest token
	offers    int
	retryAt   oleanderspool.Millis
}

// phase tells how far the transfer in progress is.
type phase int

const (
	phaseOffered   phase = iota // to be announced to the reader
	phaseAnnounced              // waits for the export to begin
	phaseExporting
	phaseExported // waits for the stream to switch
)

// Source decides for the leaving agent. One transfer is in progress at a time:
// transfers side by side share the link, so none would end earlier, and the
// agent would hold several caches. It is not safe for concurrent use.
type Source struct {
	limits  Limits
	leaving bool
	streams map[oleanderspool.AttemptID]*stream
	current *stream // in transfer; nil for none
	phase   phase
	until   oleanderspool.Millis // bound of the phase
	began   oleanderspool.Millis // instant at which the export began
	density float64              // bytes per token of an exported cache; 0 while unknown
	rate    float64              // bytes per millisecond
}

// NewSource returns the decisions of an agent without streams.
func NewSource(l Limits) *Source {
	return &Source{limits: l, streams: make(map[oleanderspool.AttemptID]*stream), rate: l.LinkRate}
}

// Started adds a stream that was handed to the engine.
func (s *Source) Started(x Stream) {
	s.streams[x.Attempt] = &stream{Stream: x}
}

// Generated notes generated tokens of a stream.
func (s *Source) Generated(id oleanderspool.AttemptID, tokens int, now oleanderspool.Millis) {
	x := s.streams[id]
	if x == nil || tokens <= 0 {
		return
	}
	if x.generated == 0 {
		x.first = now
	}
	x.generated += int64(tokens)
	x.last = now
}

// Ended removes a stream, which has finished, failed or moved. It reports
// whether its cache had been exported.
func (s *Source) Ended(id oleanderspool.AttemptID) (exported bool) {
	x := s.streams[id]
	if x == nil {
		return false
	}
	delete(s.streams, id)
	if s.current != x {
		return false
	}
	s.current = nil
	return s.phase == phaseExported
}

// Leave says that the agent leaves, from when on streams are offered.
func (s *Source) Leave() {
	s.leaving = true
}

// NextOffer chooses the stream to be offered: of those worth a transfer, the one
// with the longest rest. prefillRate is that of the engine in tokens per
// millisecond. It returns false while another transfer is in progress.
func (s *Source) NextOffer(prefillRate float64, now oleanderspool.Millis) (oleanderspool.AttemptID, bool) {
	if s.current != nil && now >= s.until {
		s.give(now)
	}
	if !s.leaving || s.current != nil {
		return "", false
	}
	var best *stream
	for _, x := range s.streams {
		if s.worth(x, prefillRate, now) && (best == nil || s.before(x, best)) {
			best = x
		}
	}
	if best == nil {
		return "", false
	}
	best.offers++
	s.current = best
	s.enter(phaseOffered, s.limits.OfferTimeout, now)
	return best.Attempt, true
}

// before orders streams by their rest, and by name so that the choice does not
// depend on the order of a map.
func (s *Source) before(x, y *stream) bool {
	if x.rest() != y.rest() {
		return x.rest() > y.rest()
	}
	return x.Attempt < y.Attempt
}

func (s *Source) enter(p phase, span, now oleanderspool.Millis) {
	s.phase, s.until = p, now+span
}

// give ends the transfer in progress without success.
func (s *Source) give(now oleanderspool.Millis) {
	s.current.retryAt = now + s.limits.Backoff
	s.current = nil
}

// worth reports whether a stream is to be moved.
func (s *Source) worth(x *stream, prefillRate float64, now oleanderspool.Millis) bool {
	if s.limits.MaxBytes == 0 || !x.Idempotent || x.Pinned || x.generated < minTokens || x.offers >= s.limits.MaxOffers || now < x.retryAt {
		return false
	}
	bytes := s.density * float64(x.tokens())
	transfer := oleanderspool.Millis(bytes / s.rate)
	prefill := oleanderspool.Millis(float64(x.tokens()) / prefillRate)
	switch {
	case bytes > float64(s.limits.MaxBytes) || transfer > s.limits.TransferTimeout/2:
		return false
	case prefill < s.limits.MinPrefillTime || prefill < transfer:
		return false
	case x.rest() < s.limits.MinRemaining+transfer:
		return false
	}
	return x.Deadline-now > transfer+s.limits.SwitchTimeout
}

// tokens returns the length of the cache in tokens.
func (x *stream) tokens() int64 {
	return x.PromptTokens + x.generated
}

// rest returns the longest expected span until the answer ends.
func (x *stream) rest() oleanderspool.Millis {
	if x.generated < 2 {
		return 0
	}
	span := float64(x.last-x.first) / float64(x.generated-1)
	return oleanderspool.Millis(span * float64(max(0, x.OutputTokens-x.generated)))
}

// MarkAnnounced reports whether a stream's reader is to be told of the offer now,
// which it is once.
func (s *Source) MarkAnnounced(id oleanderspool.AttemptID) bool {
	if !s.is(id, phaseOffered) {
		return false
	}
	s.phase = phaseAnnounced
	return true
}

func (s *Source) is(id oleanderspool.AttemptID, p phase) bool {
	return s.current != nil && s.current.Attempt == id && s.phase == p
}

// BeginExport reports whether the export of a stream may begin.
func (s *Source) BeginExport(id oleanderspool.AttemptID, now oleanderspool.Millis) bool {
	if !s.is(id, phaseAnnounced) || now >= s.until {
		return false
	}
	s.began = now
	s.enter(phaseExporting, s.limits.TransferTimeout, now)
	return true
}

// Exported notes that a cache of the given size has been sent. It reports false
// if the transfer was given up before.
func (s *Source) Exported(id oleanderspool.AttemptID, bytes int64, now oleanderspool.Millis) bool {
	if !s.is(id, phaseExporting) {
		return false
	}
	s.density = float64(bytes) / float64(s.current.tokens())
	s.rate = float64(bytes) / float64(max(1, now-s.began))
	s.enter(phaseExported, s.limits.SwitchTimeout+s.limits.TransferTimeout, now)
	return true
}

// ExportTooLarge notes that a cache exceeds the limit, so that no longer one is
// tried.
func (s *Source) ExportTooLarge(id oleanderspool.AttemptID, now oleanderspool.Millis) {
	if s.is(id, phaseExporting) {
		s.density = max(s.density, float64(s.limits.MaxBytes+1)/float64(s.current.tokens()))
	}
	s.ExportFailed(id, now)
}

// ExportFailed notes that the export of a stream failed.
func (s *Source) ExportFailed(id oleanderspool.AttemptID, now oleanderspool.Millis) {
	if s.is(id, phaseExporting) {
		s.give(now)
	}
}
