// Package quarantine decides which requests are refused because they crash backend
// servers: single requests that were in flight when several servers crashed, and all
// requests with a part of a prompt that crashes each server that begins an answer to
// it.
//
// A part is quarantined when servers crash one after the other, each with a request
// that has the part and whose answer was beginning, and no request with the part was
// answered meanwhile. Crashes that a quarantined part explains no longer count against
// the other requests that were in flight. The package does no I/O and takes the time
// as an argument; the entries exchange what they observe.
package quarantine

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	// maxBeginningCrashes is the number of servers that a request may crash as its
	// answer begins. After them it is refused.
	maxBeginningCrashes = 2
	// maxCrashes is the number of servers that may crash while the request is in flight
	// there, at any point of its answer.
	maxCrashes = 3
	// requestRetention is how long a crash counts against a request.
	requestRetention = oleanderspool.Minute
	// A part is quarantined after minPartCrashes separate crashes by as many different
	// requests. If requests with the part were answered before the crashes, it takes
	// minAnsweredPartCrashes.
	minPartCrashes         = 3
	minAnsweredPartCrashes = 5
	// minCommonCrashes crashes are enough, separate or not, if they are the
	// commonFraction of all crashes since the first of them.
	minCommonCrashes = 5
	commonFraction   = 0.9
	// separation is the smallest time between separate crashes. Servers that crash at
	// the same time have a common cause, such as a loss of power.
	separation = 300 * oleanderspool.Millis(1)
	// evidenceRetention is how long crashes and answers are kept.
	evidenceRetention = 10 * oleanderspool.Minute
	// partRetention is how long a part is quarantined after the last request with it.
	partRetention = 10 * oleanderspool.Minute
	// firstTrialDelay is the time after which one request with a quarantined part is
	// let through, in case the part was blamed wrongly. It doubles with each trial.
	firstTrialDelay = oleanderspool.Minute
	// maxTrialDelay bounds the time between trials.
	maxTrialDelay = oleanderspool.Hour
	// maxFailedTrials is the number of trials that crash their server after which no
	// other follows.
	maxFailedTrials = 3

	// maxTrackedCrashes bounds the crashes that are tracked; the oldest are forgotten
	// first.
	maxTrackedCrashes = 2000
	// maxAnswered bounds the answers that are kept in addition to those of suspects.
	maxAnswered = 20000
)

// Subject is what a request may be refused for: the request itself and the shared
// parts of its prompt, in order.
type Subject struct {
	Request oleanderspool.Fingerprint
	Parts   []oleanderspool.Fingerprint
}

// Crash reports that a request was in flight when a backend server crashed. Parts is
// set only if the answer was beginning and the process of the server is known to have
// ended.
type Crash struct {
	Server directory.ServerRun
	Subject
	Beginning bool // no event of the answer, or only the first ones, had arrived
	At        oleanderspool.Millis
}

// Answer reports that a request with a fingerprint, of the whole or of a part, was
// answered completely.
type Answer struct {
	Fingerprint oleanderspool.Fingerprint
	At          oleanderspool.Millis
}

// Part is a quarantined part.
type Part struct {
	Fingerprint oleanderspool.Fingerprint
	Since       oleanderspool.Millis
	RequestedAt oleanderspool.Millis // arrival of the last request with it
}

// observedCrash is a crash with all requests that are known to have been in flight.
type observedCrash struct {
	at        oleanderspool.Millis
	explained bool // a request with a quarantined part was beginning
}

// occurrence is a part in a request that was in flight at a crash.
type occurrence struct {
	request  oleanderspool.Fingerprint
	position int // of the part in the prompt
}

// quarantinedPart is a part of which all requests but trials are refused.
type quarantinedPart struct {
	Part
	failed      int // number of crashes by trials of all entries
	nextTrialAt oleanderspool.Millis
	trialDelay  oleanderspool.Millis // between the last trial of this entry and the next one
}

// Tracker holds what is known of crashes. It is not safe for concurrent use.
type Tracker struct {
	crashes map[directory.ServerRun]*observedCrash
	// requests holds the crashes of each request, and whether its answer was
	// beginning.
	requests map[oleanderspool.Fingerprint]map[*observedCrash]bool
	// parts holds the crashes of each part in a request whose answer was beginning.
	parts map[oleanderspool.Fingerprint]map[*observedCrash]occurrence
	// answered holds the instant of the last answer to a request, or to one with a
	// part. The crashes up to it were not caused by them.
	answered     map[oleanderspool.Fingerprint]oleanderspool.Millis
	lastAnswerAt oleanderspool.Millis // of any request with a prompt, at this entry
	quarantined  map[oleanderspool.Fingerprint]*quarantinedPart
}

// New returns a tracker that knows of no crash.
func New() *Tracker {
	return &Tracker{
		crashes:     make(map[directory.ServerRun]*observedCrash),
		requests:    make(map[oleanderspool.Fingerprint]map[*observedCrash]bool),
		parts:       make(map[oleanderspool.Fingerprint]map[*observedCrash]occurrence),
		answered:    make(map[oleanderspool.Fingerprint]oleanderspool.Millis),
		quarantined: make(map[oleanderspool.Fingerprint]*quarantinedPart),
	}
}

// RecordCrash records a crash that this or another entry observed. It returns the
// parts that are quarantined from now on.
func (t *Tracker) RecordCrash(c Crash, now oleanderspool.Millis) []Part {
	o := t.observe(c)
	if c.At > t.lastAnswer(c.Request) {
		if t.requests[c.Request] == nil {
			t.requests[c.Request] = make(map[*observedCrash]bool)
		}
		t.requests[c.Request][o] = c.Beginning || t.requests[c.Request][o]
	}
	for i, f := range c.Parts {
		if q := t.quarantined[f]; q != nil {
			if !o.explained && o.at >= q.Since+firstTrialDelay {
				q.failed++
			}
			o.explained = true
		}
		if c.At <= t.lastAnswer(f) {
			continue
		}
		if t.parts[f] == nil {
			t.parts[f] = make(map[*observedCrash]occurrence)
		}
		t.parts[f][o] = occurrence{request: c.Request, position: i}
	}
	return t.quarantineParts(c.Parts, now)
}

// observe returns the crash of a server's run.
func (t *Tracker) observe(c Crash) *observedCrash {
	o := t.crashes[c.Server]
	if o == nil {
		if len(t.crashes) >= maxTrackedCrashes {
			t.forgetOldest()
		}
		o = &observedCrash{at: c.At}
		t.crashes[c.Server] = o
	}
	o.at = min(o.at, c.At)
	return o
}

// forgetOldest removes the oldest crash. What refers to it no longer counts it and is
// removed by the next [Tracker.Expire].
func (t *Tracker) forgetOldest() {
	var oldest directory.ServerRun
	at := oleanderspool.Millis(math.MaxInt64)
	for run, o := range t.crashes {
		if o.at < at {
			oldest, at = run, o.at
		}
	}
	t.crashes[oldest].at = -evidenceRetention
	delete(t.crashes, oldest)
}

// lastAnswer returns the instant of the last answer; before all others for none.
func (t *Tracker) lastAnswer(f oleanderspool.Fingerprint) oleanderspool.Millis {
	if at, found := t.answered[f]; found {
		return at
	}
	return -evidenceRetention
}

// quarantineParts quarantines those of the parts that explain enough crashes, the
// most likely one first.
func (t *Tracker) quarantineParts(parts []oleanderspool.Fingerprint, now oleanderspool.Millis) []Part {
	var added []Part
	for {
		best, found := evidence{}, false
		for _, f := range parts {
			if t.quarantined[f] != nil {
				continue
			}
			if e := t.evidenceOf(f, now); t.suffices(e) && (!found || e.exceeds(best)) {
				best, found = e, true
			}
		}
		if !found {
			return added
		}
		p := Part{Fingerprint: best.part, Since: now, RequestedAt: now}
		t.add(p)
		added = append(added, p)
	}
}

// add quarantines a part, which explains its crashes.
func (t *Tracker) add(p Part) {
	t.quarantined[p.Fingerprint] = &quarantinedPart{Part: p, nextTrialAt: p.Since + firstTrialDelay, trialDelay: firstTrialDelay}
	for o := range t.parts[p.Fingerprint] {
		o.explained = true
	}
}

// Merge adopts the quarantine of a part by another entry, unless a request with the
// part was answered since. It reports whether the part is new.
func (t *Tracker) Merge(p Part, now oleanderspool.Millis) bool {
	if t.lastAnswer(p.Fingerprint) >= p.Since || now-p.RequestedAt >= partRetention {
		return false
	}
	q := t.quarantined[p.Fingerprint]
	if q == nil {
		t.add(p)
		return true
	}
	q.RequestedAt = max(q.RequestedAt, p.RequestedAt)
	return false
}

// Verdict says what is done with a request.
type Verdict int

// The verdicts.
const (
	// Allowed: the request may be sent to a backend server.
	Allowed Verdict = iota
	// CrashingRequest: the request itself crashed servers.
	CrashingRequest
	// CrashingPart: a part of its prompt is quarantined.
	CrashingPart
)

// Judge returns the verdict on a request. mayTry says that this entry may let a trial
// of a quarantined part through.
func (t *Tracker) Judge(s Subject, mayTry bool, now oleanderspool.Millis) Verdict {
	for _, f := range s.Parts {
		q := t.quarantined[f]
		if q == nil {
			continue
		}
		q.RequestedAt = now
		if !mayTry || now < q.nextTrialAt || q.failed >= maxFailedTrials {
			return CrashingPart
		}
		q.trialDelay = min(maxTrialDelay, 2*q.trialDelay)
		q.nextTrialAt = now + q.trialDelay
	}
	if beginning, all := t.Crashes(s.Request, now); beginning >= maxBeginningCrashes || all >= maxCrashes {
		return CrashingRequest
	}
	return Allowed
}

// Crashes returns the number of crashes that count against a request: those with
// its answer beginning, and all.
func (t *Tracker) Crashes(f oleanderspool.Fingerprint, now oleanderspool.Millis) (beginning, all int) {
	for o, first := range t.requests[f] {
		if o.explained || now-o.at >= requestRetention {
			continue
		}
		all++
		if first {
			beginning++
		}
	}
	return beginning, all
}

// RecordAnswer records a complete answer of this entry. It returns the answers that
// disprove a suspicion of the other entries, and the parts that are no longer
// quarantined.
func (t *Tracker) RecordAnswer(s Subject, at oleanderspool.Millis) (disproving []Answer, released []oleanderspool.Fingerprint) {
	t.lastAnswerAt = max(t.lastAnswerAt, at)
	if t.suspected(s.Request) {
		disproving = append(disproving, Answer{s.Request, at})
		t.Clear(disproving[0])
	}
	for _, f := range s.Parts {
		a := Answer{f, at}
		if t.suspected(f) {
			disproving = append(disproving, a)
		}
		if t.Clear(a) {
			released = append(released, f)
		}
	}
	return disproving, released
}

func (t *Tracker) suspected(f oleanderspool.Fingerprint) bool {
	return t.requests[f] != nil || t.parts[f] != nil || t.quarantined[f] != nil
}

// Clear removes the suspicions that an answer disproves. It reports whether a part is
// no longer quarantined.
func (t *Tracker) Clear(a Answer) (released bool) {
	if _, known := t.answered[a.Fingerprint]; known || len(t.answered) < maxAnswered || t.suspected(a.Fingerprint) {
		t.answered[a.Fingerprint] = max(a.At, t.lastAnswer(a.Fingerprint))
	}
	prune(t.requests, a.Fingerprint, a.At)
	prune(t.parts, a.Fingerprint, a.At)
	if q := t.quarantined[a.Fingerprint]; q != nil && a.At >= q.Since {
		delete(t.quarantined, a.Fingerprint)
		return true
	}
	return false
}

// prune removes the crashes of a fingerprint up to an instant.
func prune[V any](m map[oleanderspool.Fingerprint]map[*observedCrash]V, f oleanderspool.Fingerprint, until oleanderspool.Millis) {
	for o := range m[f] {
		if o.at <= until {
			delete(m[f], o)
		}
	}
	if len(m[f]) == 0 {
		delete(m, f)
	}
}

// AnsweredAt returns the instant of the last answer with a fingerprint.
func (t *Tracker) AnsweredAt(f oleanderspool.Fingerprint) (at oleanderspool.Millis, found bool) {
	at, found = t.answered[f]
	return at, found
}

// Quarantined returns the quarantined parts.
func (t *Tracker) Quarantined() []Part {
	var list []Part
	for _, q := range t.quarantined {
		list = append(list, q.Part)
	}
	return list
}

// Expire forgets old crashes and answers. It ends the quarantine of parts that nobody
// requests any longer and returns them.
func (t *Tracker) Expire(now oleanderspool.Millis) (ended []oleanderspool.Fingerprint) {
	for run, o := range t.crashes {
		if now-o.at >= evidenceRetention {
			delete(t.crashes, run)
		}
	}
	for f := range t.requests {
		prune(t.requests, f, now-requestRetention)
	}
	for f := range t.parts {
		prune(t.parts, f, now-evidenceRetention)
	}
	for f, at := range t.answered {
		if now-at >= evidenceRetention {
			delete(t.answered, f)
		}
	}
	for f, q := range t.quarantined {
		if now-q.RequestedAt >= partRetention {
			delete(t.quarantined, f)
			ended = append(ended, f)
		}
	}
	return ended
}
