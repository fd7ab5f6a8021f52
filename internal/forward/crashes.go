package forward

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/internal/quarantine"
)

const (
	// blockDuration is the delay after which the caller of a request that crashes
	// servers may resend it.
	blockDuration = oleanderspool.Minute
	// beginningDuration is the time after the first event in which the beginning of an
	// answer may crash its server.
	beginningDuration = oleanderspool.Second
	// crashReportDuration is how long a crash is repeated in the complete messages to
	// the other entries.
	crashReportDuration = 5 * oleanderspool.Second
	// maxReportedCrashes bounds the number of crashes in one message.
	maxReportedCrashes = 40
	// answerReportInterval is the smallest time between two answers to requests with a
	// suspected part that are reported to the other entries.
	answerReportInterval = 10 * oleanderspool.Second
)

// partFingerprint returns the fingerprint of a part of a prompt.
func partFingerprint(p oleanderspool.PromptPart) oleanderspool.Fingerprint {
	return oleanderspool.Fingerprint(xxhash.Sum64String("part\x00" + string(p)))
}

// crashExchange holds what is known of crashes and what was not reported to the other
// entries yet.
type crashExchange struct {
	tracker *quarantine.Tracker
	// recent holds the crashes that this entry observed within crashReportDuration,
	// and unreported those of them that the next messages contain.
	recent, unreported []quarantine.Crash
	answers            []quarantine.Answer
	parts              []quarantine.Part
	// known holds the instants of the answers that the other entries know of.
	known map[oleanderspool.Fingerprint]oleanderspool.Millis
}

func newCrashExchange() *crashExchange {
	return &crashExchange{tracker: quarantine.New(), known: make(map[oleanderspool.Fingerprint]oleanderspool.Millis)}
}

// recordLocal records a crash that this entry observed and returns the parts that are
// quarantined from now on.
func (c *crashExchange) recordLocal(crash quarantine.Crash) []quarantine.Part {
	c.recent, c.unreported = append(c.recent, crash), append(c.unreported, crash)
	added := c.tracker.RecordCrash(crash, crash.At)
	c.parts = append(c.parts, added...)
	return added
}

// recordAnswer records a complete answer of this entry. It reports whether the
// other entries have to receive it, and returns the parts that are no longer quarantined.
func (c *crashExchange) recordAnswer(s quarantine.Subject, now oleanderspool.Millis) (reportable bool, released []oleanderspool.Fingerprint) {
	answers, released := c.tracker.RecordAnswer(s, now)
	for _, a := range answers {
		c.report(a)
	}
	if len(answers) > 0 {
		disproved := func(e quarantine.Crash) bool { return e.Request == s.Request }
		c.recent, c.unreported = slices.DeleteFunc(c.recent, disproved), slices.DeleteFunc(c.unreported, disproved)
	}
	return len(answers) > 0, released
}

func (c *crashExchange) report(a quarantine.Answer) {
	c.answers = append(c.answers, a)
	c.known[a.Fingerprint] = a.At
}

// applied is the effect of a message of another entry.
type applied struct {
	added    []quarantine.Part           // quarantined from now on
	released []oleanderspool.Fingerprint // no longer quarantined
	// reportable says that this entry has answers that the others may not know of.
	reportable bool
}

// apply merges the crashes, answers and quarantined parts of a message.
func (c *crashExchange) apply(m gossip.Message, now oleanderspool.Millis) applied {
	var r applied
	for _, a := range m.Answered {
		if c.tracker.Clear(quarantine.Answer{Fingerprint: a.Fingerprint, At: now - a.Age}) {
			r.released = append(r.released, a.Fingerprint)
		}
		c.known[a.Fingerprint] = max(now-a.Age, c.known[a.Fingerprint])
	}
	for _, e := range m.Crashes {
		e.At = now - e.Age
		r.added = append(r.added, c.tracker.RecordCrash(e.Crash, now)...)
		r.reportable = c.shareAnswers(e.Parts) || r.reportable
	}
	for _, q := range m.Quarantined {
		p := quarantine.Part{Fingerprint: q.Fingerprint, Since: now - q.Age, RequestedAt: now - q.Idle}
		if c.tracker.Merge(p, now) {
			r.added = append(r.added, p)
		}
		r.reportable = c.shareAnswers([]oleanderspool.Fingerprint{q.Fingerprint}) || r.reportable
	}
	return r
}

// shareAnswers queues the answers to requests with suspected parts that the other
// entries may not know of, and reports whether there are any.
func (c *crashExchange) shareAnswers(parts []oleanderspool.Fingerprint) (found bool) {
	for _, f := range parts {
		if at, answered := c.tracker.AnsweredAt(f); answered && at > c.known[f]+answerReportInterval {
			c.report(quarantine.Answer{Fingerprint: f, At: at})
			found = true
		}
	}
	return found
}

// takeReport adds to a message what was not reported yet, and to a complete one also
// what is repeated. It reports whether crashes are left for the next message.
func (c *crashExchange) takeReport(m *gossip.Message, now oleanderspool.Millis) (more bool) {
	parts := c.parts
	if m.Complete {
		c.recent = slices.DeleteFunc(c.recent, func(e quarantine.Crash) bool { return now-e.At >= crashReportDuration })
		c.unreported, parts = slices.Clone(c.recent), c.tracker.Quarantined()
	}
	count := min(len(c.unreported), maxReportedCrashes)
	for _, e := range c.unreported[:count] {
		m.Crashes = append(m.Crashes, gossip.Crash{Crash: e, Age: now - e.At})
	}
	c.unreported = c.unreported[count:]
	for _, a := range c.answers {
		m.Answered = append(m.Answered, gossip.Answer{Fingerprint: a.Fingerprint, Age: now - a.At})
	}
	for _, p := range parts {
		m.Quarantined = append(m.Quarantined, oleanderspool.QuarantinedPart{Fingerprint: p.Fingerprint, Age: now - p.Since, Idle: now - p.RequestedAt})
	}
	c.answers, c.parts = nil, nil
	if len(c.known) > maxKnownAnswers {
		clear(c.known)
	}
	return len(c.unreported) > 0
}

// maxKnownAnswers bounds the answers of which it is known that others know them. More
// are forgotten, and reported again.
const maxKnownAnswers = 5000
