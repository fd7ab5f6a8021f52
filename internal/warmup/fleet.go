package warmup

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// minWorstCase is the smallest number of entries that is assumed while the actual
	// number is unknown. It is below the bound of a server that tolerates 32 requests a
	// second, so that an entry which has just started may use each such server: after a
	// restart of all entries a smaller share refused a third of the requests.
	minWorstCase = 48
	// serversPerEntry is the smallest number of servers for each entry that is expected in
	// a larger deployment.
	serversPerEntry = 2
	// joinMargin is the factor by which the known number of entries is raised, for
	// entries that have started and are not known yet.
	joinMargin = 1.25
	// settleTime is how long an entry assumes the worst case after its start, and after
	// it has known no other entry. Entries that start together find each other within two
	// seconds.
	settleTime = 4 * oleanderspool.Second
	// maxObservationGap is the time without an observation after which an entry counts
	// as just started: it was frozen, and the fleet may have grown. Observations come
	// once a second, and later on a process that is short of processor time.
	maxObservationGap = 10 * oleanderspool.Second
	// bucketDuration and maxBuckets are the resolution and the length of the memory of
	// [Fleet]: the current bucket and ten minutes before it.
	bucketDuration = oleanderspool.Minute
	maxBuckets     = 11
)

// Size is the number of entries that share the limit of a server.
type Size struct {
	// Entries is the number of entries that are assumed to use the share of a settled
	// entry.
	Entries int
	// WorstCase is the number of all entries, including those that assume the worst
	// case.
	WorstCase int
	// Settled says that this entry uses the share of a settled entry. Otherwise it
	// assumes the worst case.
	Settled bool
}

// Fleet tracks the number of entries. It is not safe for concurrent use.
type Fleet struct {
	since      oleanderspool.Millis // start of the entry, or later end of a gap or of being alone
	observedAt oleanderspool.Millis
	known      int // entries known at the last observation, including this one
	buckets    [maxBuckets]bucket
}

// bucket holds the largest number of entries within a period.
type bucket struct {
	period  int64
	largest int
}

// NewFleet returns the fleet of an entry that starts at an instant.
func NewFleet(startedAt oleanderspool.Millis) *Fleet {
	return &Fleet{since: startedAt, observedAt: startedAt, known: 1}
}

// Observe records the number of other entries that are known.
func (f *Fleet) Observe(others int, now oleanderspool.Millis) {
	if others == 0 || now-f.observedAt > maxObservationGap {
		f.since = now
	}
	f.observedAt, f.known = now, 1+others
	period := int64(now / bucketDuration)
	b := &f.buckets[period%maxBuckets]
	if b.period != period {
		*b = bucket{period: period}
	}
	b.largest = max(b.largest, f.known)
}

// Size returns the number of entries to assume when a number of servers is registered.
func (f *Fleet) Size(servers int, now oleanderspool.Millis) Size {
	entries := int(math.Ceil(float64(f.largest(now)) * joinMargin))
	return Size{
		Entries:   entries,
		WorstCase: max(minWorstCase, servers/serversPerEntry, entries),
		Settled:   f.known > 1 && now-f.since >= settleTime,
	}
}

// largest returns the largest number of entries within the last ten minutes.
func (f *Fleet) largest(now oleanderspool.Millis) int {
	n := f.known
	oldest := int64(now/bucketDuration) - maxBuckets + 1
	for _, b := range f.buckets {
		if b.period >= oldest {
			n = max(n, b.largest)
		}
	}
	return n
}
