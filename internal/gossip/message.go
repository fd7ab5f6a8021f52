// Package gossip tells the other entries over UDP what work this entry has on
// the backend servers and what it found out about them. Datagrams may be lost,
// so each entry repeats its whole state every second; nothing depends on their
// arrival.
package gossip

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

// Message is what an entry tells the others. Spans replace instants, since
// entries share no clock.
type Message struct {
	Entry           uint64 // random for each run of an entry
	Instance        oleanderspool.InstanceID
	Complete        bool // Tasks lists all tasks of the entry
	Leaving         bool // the entry stops
	Tasks           []Task
	EndedTasks      []placement.TaskID
	Crashes         []Crash
	Suspicions      []Suspicion
	Refused         []oleanderspool.Fingerprint // requests that were asked to come back
	SentAt          oleanderspool.Millis        // by the clock of the sender
	RegistryUpdates []directory.RegistryUpdate  // of the registry of backend servers
	Answered        []oleanderspool.Fingerprint // requests of earlier crashes that were answered since
	Peers           []string                    // addresses of entries that the sender knows
}

// Task is work with its age.
type Task struct {
	placement.Task
	Age oleanderspool.Millis
}

// Crash says that a request was in flight on a backend server that crashed.
type Crash struct {
	Fingerprint oleanderspool.Fingerprint
	Server      oleanderspool.InstanceID
	Age         oleanderspool.Millis
}

// Suspicion says that a backend server is to be avoided.
type Suspicion struct {
	Server    oleanderspool.InstanceID
	Remaining oleanderspool.Millis
}
