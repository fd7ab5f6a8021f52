// Package warmup limits the requests that an entry sends to a backend server within a
// second. A server that has just started, or that has become cold again unnoticed, does
// not tolerate more than a certain rate, summed over all entries. Each entry decides
// alone, from the number of entries that it assumes.
//
// The package does no I/O and takes the time as an argument.
package warmup

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	// Window is the time for which a send counts. It is longer than the second of the
	// bound, since two requests may take different times to their server.
	Window = oleanderspool.Second + 100
	// drawInterval is the time after which an entry draws anew whether a server gets
	// the part of its share. A shorter one would lower the part, because more windows
	// would cover two intervals.
	drawInterval = 4 * oleanderspool.Second
	// maxIntervals bounds the search for the time at which a server is available.
	maxIntervals = 64
)

// Limiter counts the requests that an entry sends to the servers of a service. It
// counts by instance: a request sent to an earlier run of a server may reach the
// current one. It is not safe for concurrent use.
type Limiter struct {
	seed    uint64
	opensAt oleanderspool.Millis
	bound   int
	size    Size
	share   Share
	sends   map[oleanderspool.InstanceID][]oleanderspool.Millis // ascending instants within Window

	filtered []directory.Server // the servers that were filtered last
	draws    []draw             // for each of them
}

// draw says whether a server gets the part of the share until an instant. Computing it
// for 12,000 servers takes most of the time of a placement.
type draw struct {
	hash   uint64
	drawn  bool
	endsAt oleanderspool.Millis
}

// NewLimiter returns the limiter of an entry that started at an instant. It allows no
// request before [Limiter.SetLimit]. Each entry needs a seed of its own.
//
// It allows no request in the first [Window] either. So all entries that send within
// a second were running at its beginning, and entries that start do not add to those
// that have just ended.
func NewLimiter(seed uint64, startedAt oleanderspool.Millis) *Limiter {
	return &Limiter{seed: mix(seed), opensAt: startedAt + Window, sends: make(map[oleanderspool.InstanceID][]oleanderspool.Millis)}
}

// SetLimit sets the number of requests that may reach a server within one second from
// all entries, and the number of entries.
func (l *Limiter) SetLimit(bound int, s Size) {
	if l.bound == bound && l.size == s {
		return
	}
	l.bound, l.size, l.share = bound, s, NewShare(bound, s)
	l.filtered, l.draws = nil, nil
}

// Share returns the share of this entry.
func (l *Limiter) Share() Share {
	return l.share
}

// Size returns the number of entries that the share is derived from.
func (l *Limiter) Size() Size {
	return l.size
}

// Allows reports whether a server may get a request now.
func (l *Limiter) Allows(server oleanderspool.InstanceID, now oleanderspool.Millis) bool {
	return l.allows(server, l.hash(server), now)
}

func (l *Limiter) allows(server oleanderspool.InstanceID, hash uint64, now oleanderspool.Millis) bool {
	if now < l.opensAt {
		return false
	}
	if l.share.Whole == 0 && !l.drawn(hash, now) {
		return false // saves the look-up
	}
	count := 0
	for _, at := range l.sends[server] {
		if now-at < Window {
			count++
		}
	}
	return count < l.share.Whole || count == l.share.Whole && l.share.Part > 0 && l.drawn(hash, now)
}

// drawn reports whether the server with a hash gets the part of the share in the current
// interval.
func (l *Limiter) drawn(hash uint64, now oleanderspool.Millis) bool {
	return float64(mix(hash+interval(hash, now))) < l.share.Part*math.MaxUint64
}

// interval returns the number of the current interval of a server.
func interval(hash uint64, now oleanderspool.Millis) uint64 {
	return uint64(now+phase(hash)) / uint64(drawInterval)
}

// phase returns the offset of the intervals of a server, which differs between entries.
func phase(hash uint64) oleanderspool.Millis {
	return oleanderspool.Millis(hash % uint64(drawInterval))
}

func (l *Limiter) hash(server oleanderspool.InstanceID) uint64 {
	return mix(xxhash.Sum64String(string(server)) ^ l.seed)
}

// mix is the finalizer of SplitMix64, a bijection without visible patterns.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// RecordSend records that a request is sent to a server.
func (l *Limiter) RecordSend(server oleanderspool.InstanceID, now oleanderspool.Millis) {
	l.prune(server, now)
	l.sends[server] = append(l.sends[server], now)
}

// RecordNotCounted removes a send: the request was not sent, or the server answered
// that it is not the one that the request was meant for.
func (l *Limiter) RecordNotCounted(server oleanderspool.InstanceID, sentAt oleanderspool.Millis) {
	list := l.sends[server]
	i := slices.Index(list, sentAt)
	if i < 0 {
		return
	}
	if l.sends[server] = slices.Delete(list, i, i+1); len(list) == 1 {
		delete(l.sends, server)
	}
}

// Renew moves a recorded send to a later instant. It reports false, and removes the
// send, if the server may not get it then.
func (l *Limiter) Renew(server oleanderspool.InstanceID, sentAt, now oleanderspool.Millis) bool {
	l.RecordNotCounted(server, sentAt)
	if !l.Allows(server, now) {
		return false
	}
	l.RecordSend(server, now)
	return true
}

// prune removes the sends to a server that no longer count.
func (l *Limiter) prune(server oleanderspool.InstanceID, now oleanderspool.Millis) {
	list := l.sends[server]
	i := 0
	for i < len(list) && now-list[i] >= Window {
		i++
	}
	if i < len(list) {
		l.sends[server] = slices.Delete(list, 0, i)
	} else {
		delete(l.sends, server)
	}
}

// Expire forgets sends that no longer count.
func (l *Limiter) Expire(now oleanderspool.Millis) {
	for server := range l.sends {
		l.prune(server, now)
	}
}

// Filter returns the servers that may get a request now. It returns the given slice if
// all may. The slice must not be modified afterwards.
func (l *Limiter) Filter(servers []directory.Server, now oleanderspool.Millis) []directory.Server {
	l.draw(servers, now)
	for i := range servers {
		if l.allowsFiltered(i, now) {
			continue
		}
		allowed := slices.Clone(servers[:i])
		for j := i + 1; j < len(servers); j++ {
			if l.allowsFiltered(j, now) {
				allowed = append(allowed, servers[j])
			}
		}
		return allowed
	}
	return servers
}

// draw updates the draws of the servers whose intervals have ended, or all of them for
// other servers than before.
func (l *Limiter) draw(servers []directory.Server, now oleanderspool.Millis) {
	if len(servers) != len(l.filtered) || len(servers) > 0 && &servers[0] != &l.filtered[0] {
		l.filtered, l.draws = servers, make([]draw, len(servers))
		for i := range servers {
			l.draws[i] = draw{hash: l.hash(servers[i].Instance), endsAt: now}
		}
	}
	for i := range l.draws {
		if d := &l.draws[i]; now >= d.endsAt {
			d.drawn = l.drawn(d.hash, now)
			d.endsAt = oleanderspool.Millis(interval(d.hash, now)+1)*drawInterval - phase(d.hash)
		}
	}
}

func (l *Limiter) allowsFiltered(i int, now oleanderspool.Millis) bool {
	d := &l.draws[i]
	if l.share.Whole == 0 && !d.drawn {
		return false
	}
	return l.allows(l.filtered[i].Instance, d.hash, now)
}

// AvailableIn returns the time until the first of the servers may get a request, or
// an upper limit if that is not known.
func (l *Limiter) AvailableIn(servers []directory.Server, now oleanderspool.Millis) oleanderspool.Millis {
	first := now + maxIntervals*drawInterval
	for i := range servers {
		first = l.availableAt(servers[i].Instance, now, first)
	}
	return first - now
}

// availableAt returns the earliest instant at which a server may get a request, if it
// is before a limit, and otherwise the limit. The allowance changes when a send no
// longer counts and when an interval begins.
func (l *Limiter) availableAt(server oleanderspool.InstanceID, now, limit oleanderspool.Millis) oleanderspool.Millis {
	list := l.sends[server]
	check := func(at oleanderspool.Millis) {
		if at >= now && at < limit && l.Allows(server, at) {
			limit = at
		}
	}
	check(now)
	check(l.opensAt)
	for _, at := range list {
		check(at + Window)
	}
	if l.share.Part == 0 {
		return limit
	}
	offset := phase(l.hash(server))
	next := ((now+offset)/drawInterval+1)*drawInterval - offset
	for at := next; at < limit; at += drawInterval {
		check(at)
	}
	return limit
}
