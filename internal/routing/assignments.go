package routing

import (
	"sync"

	"github.com/oleanderspool/oleanderspool"
)

// arrivalSpan is the time in milliseconds that an assignment needs to reach the
// agent and to appear in its queue. Assignments that were made within this span
// before the last report was taken may be missing in it.
const arrivalSpan oleanderspool.Millis = 25

// Assignments holds the requests that this entry has in progress. It adds
// those that a server's last report cannot contain to the server's load, so
// that the requests between two reports do not all go to the server that
// looked best in the first one, and it keeps requests with equal fingerprints
// on one server. It is safe for concurrent use.
type Assignments struct {
	mutex        sync.RWMutex
	requests     map[oleanderspool.AttemptID]assignment
	servers      map[oleanderspool.InstanceID][]assignment // in order of time
	fingerprints map[oleanderspool.Fingerprint]holder
	fallback     float64
	callTime     oleanderspool.Millis
	prefixTokens int // length of the prefix that decides affinity, in tokens
	prefixes     recentPrefixes
}

type assignment struct {
	attempt     oleanderspool.AttemptID
	instance    oleanderspool.InstanceID
	fingerprint oleanderspool.Fingerprint
	tokens      int64 // prefill work; 0 for a service
	memory      int64 // engine memory in tokens; 0 for a service
	service     bool
	at          oleanderspool.Millis
}

// holder is the server that runs the requests with one fingerprint.
type holder struct {
	instance oleanderspool.InstanceID
	count    int
}

// NewAssignments returns an empty table. fallback is the prefill rate of a
// server that reported none, in tokens per millisecond; callTime is the cost
// of a service call in milliseconds.
func NewAssignments(fallback float64, callTime oleanderspool.Millis) *Assignments {
	return &Assignments{
		requests:     make(map[oleanderspool.AttemptID]assignment),
		servers:      make(map[oleanderspool.InstanceID][]assignment),
		fingerprints: make(map[oleanderspool.Fingerprint]holder),
		fallback:     fallback,
		callTime:     callTime,
		prefixTokens: DefaultPrefixTokens,
		prefixes:     newRecentPrefixes(),
	}
}

// Start notes that an attempt of r was sent to an instance.
func (a *Assignments) Start(attempt oleanderspool.AttemptID, r oleanderspool.Request, instance oleanderspool.InstanceID, now oleanderspool.Millis) {
	n := assignment{attempt: attempt, instance: instance, fingerprint: r.Fingerprint, at: now}
	if r.Kind == oleanderspool.KindService {
		n.service = true
	} else {
		n.tokens = int64(r.PromptTokens)
		n.memory = RequiredMemory(r)
	}
	key := prefixKey(r, a.prefixTokens)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if _, known := a.requests[attempt]; known {
		return
	}
	a.requests[attempt] = n
	a.servers[instance] = append(a.servers[instance], n)
	a.hold(n)
	if !n.service {
		a.prefixes.add(key, instance, now)
	}
}

// appendPrefixHolders appends the instances that were sent a prefix lately to a
// list.
func (a *Assignments) appendPrefixHolders(list []oleanderspool.InstanceID, key uint64, now oleanderspool.Millis) []oleanderspool.InstanceID {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	return a.prefixes.appendTo(list, key, now)
}

// hold counts an assignment for the server that runs its fingerprint. A
// request without a fingerprint, which is 0, is not tied to a server.
func (a *Assignments) hold(n assignment) {
	if n.fingerprint == 0 {
		return
	}
	h := a.fingerprints[n.fingerprint]
	if h.count == 0 {
		h.instance = n.instance
	}
	if h.instance == n.instance {
		h.count++
		a.fingerprints[n.fingerprint] = h
	}
}

// release undoes hold.
func (a *Assignments) release(n assignment) {
	h, held := a.fingerprints[n.fingerprint]
	if !held || h.instance != n.instance {
		return
	}
	h.count--
	if h.count == 0 {
		delete(a.fingerprints, n.fingerprint)
		return
	}
	a.fingerprints[n.fingerprint] = h
}

// End notes that an attempt ended. Ending an unknown attempt has no effect.
func (a *Assignments) End(attempt oleanderspool.AttemptID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	n, known := a.requests[attempt]
	if !known {
		return
	}
	delete(a.requests, attempt)
	a.removeFromServer(n)
	a.release(n)
}

func (a *Assignments) removeFromServer(n assignment) {
	list := a.servers[n.instance]
	for i := range list {
		if list[i].attempt == n.attempt {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(a.servers, n.instance)
		return
	}
	a.servers[n.instance] = list
}

// InstanceFor returns the instance that runs requests with the given fingerprint
// for this entry.
func (a *Assignments) InstanceFor(fingerprint oleanderspool.Fingerprint) (oleanderspool.InstanceID, bool) {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	h, found := a.fingerprints[fingerprint]
	return h.instance, found
}

// InProgress returns the attempts that are in progress on an instance.
func (a *Assignments) InProgress(instance oleanderspool.InstanceID) []oleanderspool.AttemptID {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	attempts := make([]oleanderspool.AttemptID, 0, len(a.servers[instance]))
	for _, n := range a.servers[instance] {
		attempts = append(attempts, n.attempt)
	}
	return attempts
}

// recent sums up the assignments that a server's last report may not contain.
type recent struct {
	ahead  int64 // prefill work that goes before a given prompt, in tokens
	longer int64 // longer prefill work, in tokens
	memory int64 // engine memory, in tokens
	calls  int   // service calls
}

// since returns the assignments that the server's last report may not contain,
// as a prompt of the given length sees them.
func (a *Assignments) since(b oleanderspool.BackendServer, promptTokens int64) recent {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	var sum recent
	class := oleanderspool.LengthClass(promptTokens)
	after := b.ReportedAt - b.ReportAge - arrivalSpan
	list := a.servers[b.Instance]
	for i := len(list) - 1; i >= 0 && list[i].at > after; i-- {
		n := &list[i]
		sum.memory += n.memory
		switch {
		case n.service:
			sum.calls++
		case oleanderspool.LengthClass(n.tokens) <= class:
			sum.ahead += n.tokens
		default:
			sum.longer += n.tokens
		}
	}
	return sum
}

// Cost returns the time by which the assignments since the server's last report
// delay r, in milliseconds.
func (a *Assignments) Cost(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
	tokens := int64(r.PromptTokens)
	sum := a.since(b, tokens)
	return weighted(tokens, sum.ahead, sum.longer)/prefillRate(b, a.fallback) + float64(sum.calls)*float64(a.callTime)
}
