// Package standin holds what the stand-ins for the platform, engines and plain
// services share: injected faults that are added and cleared over HTTP or in code,
// and JSON over HTTP.
package standin

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// FaultKind is the kind of fault that a stand-in injects into a request.
type FaultKind string

// The kinds of fault.
const (
	// FaultOutage responds with status 503 and states that the request had no effect.
	FaultOutage FaultKind = "outage"
	// FaultBreak closes the connection without executing the request or sending a
	// response.
	FaultBreak FaultKind = "break"
	// FaultSlow delays the execution of the request until the delay has passed or
	// the faults are cleared.
	FaultSlow FaultKind = "slow"
	// FaultHang holds the request without executing it until the faults are
	// cleared or the peer disconnects, then closes the connection.
	FaultHang FaultKind = "hang"
	// FaultLoseResponse executes the request and closes the connection
	// without a response.
	FaultLoseResponse FaultKind = "lose_response"
	// FaultNoResponse executes the request and then holds the connection without a
	// response until the faults are cleared or the peer disconnects.
	FaultNoResponse FaultKind = "silence"
	// FaultLate closes the connection and executes the request after the delay.
	FaultLate FaultKind = "late"
	// FaultTruncate sends the first bytes of the response body and closes the
	// connection.
	FaultTruncate FaultKind = "cut"
	// FaultStall sends the first bytes of the response body and then holds the
	// connection until the faults are cleared or the peer disconnects.
	FaultStall FaultKind = "stall"
)

// FaultKinds lists every kind of fault.
var FaultKinds = []FaultKind{
	FaultOutage, FaultBreak, FaultSlow, FaultHang, FaultLoseResponse,
	FaultNoResponse, FaultLate, FaultTruncate, FaultStall,
}

// Fault is a fault injected into the requests to a stand-in.
type Fault struct {
	Kind FaultKind
	// Path limits the fault to requests whose path has this prefix.
	Path string
	// Method limits the fault to requests with this method; empty means all.
	Method string
	// Delay is the delay of a slow or late request.
	Delay oleanderspool.Millis
	// Bytes is the length of the response body that a truncated or stalled
	// response sends.
	Bytes int64
	// Skip is the number of matching requests to leave unaffected first.
	Skip int
	// Count is the number of requests that the fault affects; 0 means all until
	// the faults are cleared.
	Count int
}

// Faults holds the faults of a stand-in. The zero value has none. It is safe
// for concurrent use.
type Faults struct {
	mu           sync.Mutex
	active       []Fault
	cleared      chan struct{} // closed when the faults are cleared
	heldRequests atomic.Int64
}

// HeldRequests returns the number of requests that a fault delays or holds now.
func (f *Faults) HeldRequests() int {
	return int(f.heldRequests.Load())
}

// AddFault adds a fault. The first matching fault applies to a request.
func (f *Faults) AddFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append(f.active, fault)
}

// ClearFaults removes all faults and stops delaying and holding requests.
func (f *Faults) ClearFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = nil
	if f.cleared != nil {
		close(f.cleared)
		f.cleared = nil
	}
}

// ActiveFaults returns the active faults with what is left of their counts.
func (f *Faults) ActiveFaults() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Fault(nil), f.active...)
}

// match returns the fault for a request, if any, and a channel that is closed
// when the faults are cleared. It counts the request against Skip and Count.
func (f *Faults) match(method, path string) (Fault, <-chan struct{}, bool) {
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
		matched := *a
		f.countDown(i)
		return matched, f.cleared, true
	}
	return Fault{}, f.cleared, false
}

// countDown counts a request against the fault at index i and removes the fault
// after its last request.
func (f *Faults) countDown(i int) {
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

// sleep waits for the delay and returns early when done or cleared is closed.
func sleep(delay oleanderspool.Millis, done, cleared <-chan struct{}) {
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	case <-cleared:
	}
}
