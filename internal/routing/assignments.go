package routing

import (
	"sync"

	"github.com/oleanderspool/oleanderspool"
)

// arrivalDelay is the time in milliseconds until an assignment has reached the
// agent and appears in its queue. The last report may not contain assignments that
// were made less than this before it was taken.
const arrivalDelay oleanderspool.Millis = 25

// Assignments tracks the attempts that this entry has in progress. It adds those
// that a server's last report cannot contain to the server's load, so that the
// requests between two reports do not all go to the server with the least reported
// load, and it keeps requests with equal fingerprints on one server. It is safe for
// concurrent use.
type Assignments struct {
	mutex        sync.RWMutex
	byAttempt    map[oleanderspool.AttemptID]assignment
	byServer     map[oleanderspool.InstanceID][]assignment // in order of their start
	fingerprints map[oleanderspool.Fingerprint]binding
	defaultRate  float64
	callDuration oleanderspool.Millis
	prefixTokens int // length of the prefix that decides affinity, in tokens
	prefixes     recentPrefixes
}

type assignment struct {
	attempt     oleanderspool.AttemptID
	instance    oleanderspool.InstanceID
	fingerprint oleanderspool.Fingerprint
	tokens      int64 // prefill work; 0 for a service
	memory      int64 // KV cache in tokens; 0 for a service
	service     bool
	at          oleanderspool.Millis
}

// binding is the server that runs the requests with one fingerprint.
type binding struct {
	instance oleanderspool.InstanceID
	count    int
}

// NewAssignments returns an empty table. defaultRate is the prefill rate of a server
// that reported none, in tokens per millisecond; callDuration is the assumed
// duration of a service call in milliseconds.
func NewAssignments(defaultRate float64, callDuration oleanderspool.Millis) *Assignments {
	return &Assignments{
		byAttempt:    make(map[oleanderspool.AttemptID]assignment),
		byServer:     make(map[oleanderspool.InstanceID][]assignment),
		fingerprints: make(map[oleanderspool.Fingerprint]binding),
		defaultRate:  defaultRate,
		callDuration: callDuration,
		prefixTokens: DefaultPrefixTokens,
		prefixes:     newRecentPrefixes(),
	}
}

// Start records that an attempt of r was sent to an instance. Starting a known
// attempt has no effect.
func (a *Assignments) Start(attempt oleanderspool.AttemptID, r oleanderspool.Request, instance oleanderspool.InstanceID, now oleanderspool.Millis) {
	as := assignment{attempt: attempt, instance: instance, fingerprint: r.Fingerprint, at: now}
	if r.Kind == oleanderspool.KindService {
		as.service = true
	} else {
		as.tokens = int64(r.PromptTokens)
		as.memory = RequiredMemory(r)
	}
	key := prefixKey(r, a.prefixTokens)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if _, found := a.byAttempt[attempt]; found {
		return
	}
	a.byAttempt[attempt] = as
	a.byServer[instance] = append(a.byServer[instance], as)
	a.bindFingerprint(as)
	if !as.service {
		a.prefixes.add(key, instance, now)
	}
}

// appendPrefixHolders appends the instances that were recently sent a prefix to a
// list.
func (a *Assignments) appendPrefixHolders(list []oleanderspool.InstanceID, key uint64, now oleanderspool.Millis) []oleanderspool.InstanceID {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	return a.prefixes.appendTo(list, key, now)
}

// bindFingerprint counts an assignment for the server that runs its fingerprint, and
// binds the fingerprint to the server if it is unbound. A request without a
// fingerprint, which is 0, is not bound to a server.
func (a *Assignments) bindFingerprint(as assignment) {
	if as.fingerprint == 0 {
		return
	}
	b := a.fingerprints[as.fingerprint]
	if b.count == 0 {
		b.instance = as.instance
	}
	if b.instance == as.instance {
		b.count++
		a.fingerprints[as.fingerprint] = b
	}
}

// unbindFingerprint reverts bindFingerprint. The fingerprint is unbound when its last
// assignment ends.
func (a *Assignments) unbindFingerprint(as assignment) {
	b, found := a.fingerprints[as.fingerprint]
	if !found || b.instance != as.instance {
		return
	}
	b.count--
	if b.count == 0 {
		delete(a.fingerprints, as.fingerprint)
		return
	}
	a.fingerprints[as.fingerprint] = b
}

// End records that an attempt ended. Ending an unknown attempt has no effect.
func (a *Assignments) End(attempt oleanderspool.AttemptID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	as, found := a.byAttempt[attempt]
	if !found {
		return
	}
	delete(a.byAttempt, attempt)
	a.removeFromServer(as)
	a.unbindFingerprint(as)
}

func (a *Assignments) removeFromServer(as assignment) {
	list := a.byServer[as.instance]
	for i := range list {
		if list[i].attempt == as.attempt {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(a.byServer, as.instance)
		return
	}
	a.byServer[as.instance] = list
}

// InstanceFor returns the instance that runs requests with the given fingerprint for
// this entry.
func (a *Assignments) InstanceFor(fingerprint oleanderspool.Fingerprint) (oleanderspool.InstanceID, bool) {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	b, found := a.fingerprints[fingerprint]
	return b.instance, found
}

// InProgress returns the attempts that are in progress on an instance.
func (a *Assignments) InProgress(instance oleanderspool.InstanceID) []oleanderspool.AttemptID {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	attempts := make([]oleanderspool.AttemptID, 0, len(a.byServer[instance]))
	for _, as := range a.byServer[instance] {
		attempts = append(attempts, as.attempt)
	}
	return attempts
}

// unreportedLoad sums up the assignments that a server's last report may not contain.
type unreportedLoad struct {
	ahead  int64 // prefill work that runs before a given prompt, in tokens
	longer int64 // prefill work of longer length classes, in tokens
	memory int64 // KV cache, in tokens
	calls  int   // service calls
}

// sinceReport returns the assignments that the server's last report may not contain,
// divided by whether they run before a prompt of the given length.
func (a *Assignments) sinceReport(b oleanderspool.BackendServer, promptTokens int64) unreportedLoad {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	var sum unreportedLoad
	class := oleanderspool.LengthClass(promptTokens)
	after := b.ReportedAt - b.ReportAge - arrivalDelay
	list := a.byServer[b.Instance]
	for i := len(list) - 1; i >= 0 && list[i].at > after; i-- {
		as := &list[i]
		sum.memory += as.memory
		switch {
		case as.service:
			sum.calls++
		case oleanderspool.LengthClass(as.tokens) <= class:
			sum.ahead += as.tokens
		default:
			sum.longer += as.tokens
		}
	}
	return sum
}

// Cost returns the delay in milliseconds that the assignments since the server's last
// report add to r.
func (a *Assignments) Cost(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
	tokens := int64(r.PromptTokens)
	sum := a.sinceReport(b, tokens)
	return weightedTokens(tokens, sum.ahead, sum.longer)/prefillRate(b, a.defaultRate) + float64(sum.calls)*float64(a.callDuration)
}
