package quarantine

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// evidence is what speaks for a part as the cause of crashes.
type evidence struct {
	part     oleanderspool.Fingerprint
	crashes  int                  // number of crashes
	separate int                  // number of crashes that are separate from each other
	requests int                  // number of different requests with the part
	firstAt  oleanderspool.Millis // of the first crash
	answered bool                 // a request with the part was answered before the crashes
	position int                  // of the part in the prompt
}

// evidenceOf returns the evidence against a part. Crashes that another part explains
// do not count.
func (t *Tracker) evidenceOf(f oleanderspool.Fingerprint, now oleanderspool.Millis) evidence {
	_, answered := t.answered[f]
	e := evidence{part: f, answered: answered}
	var times []oleanderspool.Millis
	requests := make(map[oleanderspool.Fingerprint]bool)
	for o, in := range t.parts[f] {
		if o.explained || now-o.at >= evidenceRetention {
			continue
		}
		times = append(times, o.at)
		requests[in.request] = true
		e.position = max(e.position, in.position)
	}
	if len(times) == 0 {
		return e
	}
	slices.Sort(times)
	e.crashes, e.requests, e.firstAt = len(times), len(requests), times[0]
	last := times[0] - separation
	for _, at := range times {
		if at-last >= separation {
			e.separate++
			last = at
		}
	}
	return e
}

// suffices reports whether the evidence is enough to quarantine a part. Answers since
// the first crash show that servers work for requests without the part.
func (t *Tracker) suffices(e evidence) bool {
	limit := minPartCrashes
	if e.answered {
		limit = minAnsweredPartCrashes
	}
	if e.requests < limit || t.lastAnswerAt <= e.firstAt {
		return false
	}
	return e.separate >= limit || !e.answered && e.crashes >= minCommonCrashes && t.common(e)
}

// common reports whether nearly all crashes since the first one of a part are among
// its crashes.
func (t *Tracker) common(e evidence) bool {
	all := 0
	for _, o := range t.crashes {
		if o.at >= e.firstAt && !o.explained {
			all++
		}
	}
	return float64(e.crashes) >= commonFraction*float64(all)
}

// exceeds reports whether the part is a more likely cause than another one: one with
// which no request was ever answered, then the one with more crashes, then the more
// specific one, which is later in the prompt.
func (e evidence) exceeds(other evidence) bool {
	switch {
	case e.answered != other.answered:
		return !e.answered
	case e.crashes != other.crashes:
		return e.crashes > other.crashes
	default:
		return e.position > other.position
	}
}
