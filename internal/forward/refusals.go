package forward

import "github.com/oleanderspool/oleanderspool"

const (
	// refusalRetention is how long a refused request is tracked.
	refusalRetention = 10 * oleanderspool.Second
	// maxRefusals bounds the number of tracked requests.
	maxRefusals = 5000
)

// refusalTracker records which requests this and the other entries refused
// with the advice to retry, so that a caller that does so is preferred.
type refusalTracker struct {
	at         map[oleanderspool.Fingerprint]oleanderspool.Millis
	unreported []oleanderspool.Fingerprint // refusals by this entry, not reported to the others yet
}

func newRefusalTracker() *refusalTracker {
	return &refusalTracker{at: make(map[oleanderspool.Fingerprint]oleanderspool.Millis)}
}

// add records a refusal. Of several within refusalRetention the first one counts, so that
// a caller that comes back sooner than it was asked to does not stay in time.
func (r *refusalTracker) add(f oleanderspool.Fingerprint, now oleanderspool.Millis) {
	if at, found := r.at[f]; len(r.at) < maxRefusals && (!found || now-at >= refusalRetention) {
		r.at[f] = now
	}
}

// recordLocal records a request that this entry refused.
func (r *refusalTracker) recordLocal(f oleanderspool.Fingerprint, now oleanderspool.Millis) {
	r.add(f, now)
	r.unreported = append(r.unreported, f)
}

// refused reports whether a request was first refused within refusalRetention, and how
// long ago.
func (r *refusalTracker) refused(f oleanderspool.Fingerprint, now oleanderspool.Millis) (refused bool, age oleanderspool.Millis) {
	at, found := r.at[f]
	return found && now-at < refusalRetention, now - at
}

// takeUnreported returns and resets the refusals that were not reported to the
// other entries yet.
func (r *refusalTracker) takeUnreported() []oleanderspool.Fingerprint {
	refusals := r.unreported
	r.unreported = nil
	return refusals
}

func (r *refusalTracker) expire(now oleanderspool.Millis) {
	for f, at := range r.at {
		if now-at >= refusalRetention {
			delete(r.at, f)
		}
	}
}
