// Package gossip exchanges state between entries over UDP: which tasks each entry
// has on the backend servers and which failures of these servers it observed.
// Datagrams may be lost, so each entry repeats its whole state every second;
// correctness does not depend on their arrival.
//
// In a small fleet every entry sends to every other one. In a larger one some
// entries of each data centre are relays: an entry sends its messages to one of
// them, which collects those of its subscribers and exchanges them with the other
// relays. So the datagrams of an entry do not grow with the number of entries, and
// a message crosses to another data centre once for each relay there.
package gossip

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/placement"
	"github.com/oleanderspool/oleanderspool/internal/quarantine"
)

// Message is the state, or the changes of the state, that an entry sends to the
// others. It contains ages and remaining durations instead of instants, since
// entries share no clock.
type Message struct {
	RunID uint64 // identifies one run of an entry; random, not 0
	// Sequence numbers the messages of a run from 1; 0 for a copy of its tasks that
	// another entry sends.
	Sequence        uint64
	Endpoint        Endpoint // set in complete messages
	Complete        bool     // Tasks lists all tasks of the entry
	Leaving         bool     // the entry is shutting down
	Tasks           []Task
	EndedTasks      []placement.TaskID
	Crashes         []Crash
	Suspicions      []Suspicion
	Refused         []oleanderspool.Fingerprint // requests that were refused and that the client was asked to send again
	SentAt          oleanderspool.Millis        // on the clock of the sender
	RegistryUpdates []directory.RegistryUpdate  // results of reads of the backend server registry
	Answered        []Answer                    // answers to suspected requests
	Quarantined     []oleanderspool.QuarantinedPart
}

// Endpoint describes an entry to the others.
type Endpoint struct {
	Instance   oleanderspool.InstanceID
	Address    string // IP address and port at which it receives datagrams
	DataCentre oleanderspool.DataCentreID
	// Capacity is the processor share of its instance in thousandths of a core.
	Capacity int64
}

// Task is a task on a backend server, with the time since its placement.
type Task struct {
	placement.Task
	Age oleanderspool.Millis
}

// Crash is an observed crash, with the time since.
type Crash struct {
	quarantine.Crash
	Age oleanderspool.Millis
}

// Answer reports a complete answer to a request with a fingerprint, of the whole or of
// a part of its prompt.
type Answer struct {
	Fingerprint oleanderspool.Fingerprint
	Age         oleanderspool.Millis
}

// Suspicion reports that a backend server failed and is avoided for a remaining time.
type Suspicion struct {
	Server    oleanderspool.InstanceID
	Remaining oleanderspool.Millis
}
