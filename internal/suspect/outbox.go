package suspect

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// resendInterval is the delay after which a record that has not appeared in
// the stream is appended again. A duplicate has no effect on the replay.
const resendInterval = oleanderspool.Second

// queuedRecord is a record that has to appear in the stream.
type queuedRecord struct {
	record record
	dueAt  oleanderspool.Millis
	// presumed marks a crash that is presumed because the server of a trial
	// ended. Any other result of the trial makes it obsolete.
	presumed bool
}

// outbox holds records until the replayed stream shows that they were appended
// or are obsolete. This repeats an append with an uncertain outcome.
type outbox struct {
	queue []queuedRecord
}

func (o *outbox) add(qr queuedRecord) {
	o.queue = append(o.queue, qr)
}

// due returns the records to append now, in the order in which they were
// added.
func (o *outbox) due(now oleanderspool.Millis) [][]byte {
	var data [][]byte
	for i := range o.queue {
		if o.queue[i].dueAt > now {
			continue
		}
		o.queue[i].dueAt = now + resendInterval
		data = append(data, encode(o.queue[i].record))
	}
	return data
}

// expedite makes the record of a crash due at once, so that it precedes the
// claim of a trial that depends on it.
func (o *outbox) expedite(crash CrashID, now oleanderspool.Millis) {
	for i := range o.queue {
		if o.queue[i].record.crash == crash {
			o.queue[i].dueAt = min(o.queue[i].dueAt, now)
		}
	}
}

// drop removes the records for which obsolete returns true.
func (o *outbox) drop(obsolete func(queuedRecord) bool) {
	o.queue = slices.DeleteFunc(o.queue, obsolete)
}
