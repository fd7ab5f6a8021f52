package placement

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	// maxLeaving is how long a server that says that it leaves gets no requests. A
	// server has left long before; one that is still registered then was wrong.
	maxLeaving = oleanderspool.Hour
	// maxPause bounds the time for which a server may ask to get no requests, so that
	// a faulty one does not take itself out of use for good.
	maxPause = 10 * oleanderspool.Minute
	// maxExclusions bounds the number of excluded servers.
	maxExclusions = 10000
)

// Exclusions holds the servers that said in an answer that they want no requests from
// this entry: those that leave, and those that asked for time. It applies to one run of
// a server each. It is not safe for concurrent use.
type Exclusions struct {
	leaving map[directory.ServerRun]oleanderspool.Millis // until when
	paused  map[directory.ServerRun]oleanderspool.Millis // until when
}

// NewExclusions returns exclusions without a server.
func NewExclusions() *Exclusions {
	return &Exclusions{leaving: make(map[directory.ServerRun]oleanderspool.Millis), paused: make(map[directory.ServerRun]oleanderspool.Millis)}
}

// RecordLeaving records that a server leaves. It reports whether that is new.
func (x *Exclusions) RecordLeaving(run directory.ServerRun, now oleanderspool.Millis) bool {
	_, known := x.leaving[run]
	return extend(x.leaving, run, now+maxLeaving) && !known
}

// RecordPause records that a server asks for no requests for a duration, and reports
// whether that prolongs its pause.
func (x *Exclusions) RecordPause(run directory.ServerRun, duration, now oleanderspool.Millis) bool {
	return duration > 0 && extend(x.paused, run, now+min(duration, maxPause))
}

func extend(m map[directory.ServerRun]oleanderspool.Millis, run directory.ServerRun, until oleanderspool.Millis) bool {
	old, known := m[run]
	if until <= old || !known && len(m) >= maxExclusions {
		return false
	}
	m[run] = until
	return true
}

// Excluded reports whether a server gets no requests.
func (x *Exclusions) Excluded(run directory.ServerRun, now oleanderspool.Millis) bool {
	return now < x.leaving[run] || now < x.paused[run]
}

// Filter returns the servers that are not excluded. It returns the given slice if none
// is.
func (x *Exclusions) Filter(servers []directory.Server, now oleanderspool.Millis) []directory.Server {
	if len(x.leaving) == 0 && len(x.paused) == 0 {
		return servers
	}
	usable := make([]directory.Server, 0, len(servers))
	for _, s := range servers {
		if !x.Excluded(s.Run(), now) {
			usable = append(usable, s)
		}
	}
	return usable
}

// AvailableIn returns the time until the first of the servers may be used again, if all
// are excluded and one of them only for a time.
func (x *Exclusions) AvailableIn(servers []directory.Server, now oleanderspool.Millis) (wait oleanderspool.Millis, found bool) {
	for _, s := range servers {
		run := s.Run()
		if !x.Excluded(run, now) {
			return 0, false
		}
		if now >= x.leaving[run] && (!found || x.paused[run]-now < wait) {
			wait, found = x.paused[run]-now, true
		}
	}
	return wait, found
}

// Expire forgets exclusions that have ended.
func (x *Exclusions) Expire(now oleanderspool.Millis) {
	for _, m := range []map[directory.ServerRun]oleanderspool.Millis{x.leaving, x.paused} {
		for run, until := range m {
			if now >= until {
				delete(m, run)
			}
		}
	}
}
