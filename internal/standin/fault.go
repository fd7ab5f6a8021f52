// Package standin holds what the stand-ins for the platform, engines and plain
// services share: faults that are switched on and off by HTTP or in code.
package standin

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// FaultKind tells how a stand-in misbehaves.
type FaultKind string

// The kinds of fault.
const (
	// FaultOutage answers 503 and states that the request had no effect.
	FaultOutage FaultKind = "outage"
	// FaultBreak closes the connection without an effect or a response.
	FaultBreak FaultKind = "break"
	// FaultSlow delays the request; clearing the faults ends the delay.
	FaultSlow FaultKind = "slow"
	// FaultHang holds the request without an effect until the fault is cleared
	// or the peer leaves.
	FaultHang FaultKind = "hang"
	// FaultLoseResponse carries the request out and closes the connection
	// without a response.
	FaultLoseResponse FaultKind = "lose_response"
	// FaultNoResponse carries the request out and then holds the connection
	// without a response until the fault is cleared or the peer leaves.
	FaultNoResponse FaultKind = "silence"
	// FaultLate closes the connection and carries the request out after the delay.
	FaultLate FaultKind = "late"
	// FaultTruncate passes on the first bytes of the response body and closes the
	// connection.
	FaultTruncate FaultKind = "cut"
	// FaultStall passes on the first bytes of the response body and then holds
	// the connection until the fault is cleared or the peer leaves.
	FaultStall FaultKind = "stall"
)

// FaultKinds lists every kind of fault.
var FaultKinds = []FaultKind{
	FaultOutage, FaultBreak, FaultSlow, FaultHang, FaultLoseResponse,
	FaultNoResponse, FaultLate, FaultTruncate, FaultStall,
}

// Fault is a fault that a stand-in shows.
type Fault struct {
	Kind FaultKind
	// Path limits the fault to requests whose path starts with it.
	Path string
	// Method limits the fault to requests with this method; empty means all.
	Method string
	// Delay is the span of a slow or late request.
	Delay oleanderspool.Millis
	// Bytes is how much of the response body a cut or stalled response keeps.
	Bytes int64
	// Skip lets this many matching requests pass first.
	Skip int
	// Count ends the fault after this many requests; 0 means until it is cleared.
	Count int
}

// Faults holds the faults of a stand-in. The zero value has none. It is safe
// for concurrent use.
type Faults struct {
	mu      sync.Mutex
	active  []Fault
	cleared chan struct{} // closed when the faults are cleared
	held    atomic.Int64
}

// HeldRequests returns the number of requests that a fault delays or holds now.
func (f *Faults) HeldRequests() int {
	return int(f.held.Load())
}

// AddFault adds a fault. The first matching fault applies to a request.
func (f *Faults) AddFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append(f.active, fault)
}

// ClearFaults removes all faults and ends the requests that they hold.
func (f *Faults) ClearFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = nil
	if f.cleared != nil {
		close(f.cleared)
		f.cleared = nil
	}
}

// ActiveFaults returns the faults that are active.
func (f *Faults) ActiveFaults() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Fault(nil), f.active...)
}

// take returns the fault for a request, if any, and a channel that is closed
// when the faults are cleared.
func (f *Faults) take(method, path string) (Fault, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cleared == nil {
		f.cleared = make(chan struct{})
	}
	for i := range f.active {
		a := &f.active[i]
		if !a.matches(method, path) {
			continue
		}
		if a.Skip > 0 {
			a.Skip--
			continue
		}
		taken := *a
		f.use(i)
		return taken, f.cleared, true
	}
	return Fault{}, f.cleared, false
}

// use counts down the fault at index i and removes it after its last request.
func (f *Faults) use(i int) {
	a := &f.active[i]
	if a.Count == 0 {
		return
	}
	a.Count--
	if a.Count == 0 {
		f.active = append(f.active[:i], f.active[i+1:]...)
	}
}

func (f Fault) matches(method, path string) bool {
	return strings.HasPrefix(path, f.Path) && (f.Method == "" || f.Method == method)
}

// sleep waits for a span and returns early when done or cleared is closed.
func sleep(span oleanderspool.Millis, done, cleared <-chan struct{}) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	case <-cleared:
	}
}
