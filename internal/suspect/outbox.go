package suspect

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// resendAfter is the span after which a record that has not appeared in the
// stream is appended again. A duplicate has no effect on the replay.
const resendAfter = oleanderspool.Second

// letter is a record that has to appear in the stream.
type letter struct {
	record record
	dueAt  oleanderspool.Millis
	// presumed marks a crash that is presumed because the server of a trial
	// ended. Any other result of the trial makes it pointless.
	presumed bool
}

// outbox holds records until the replayed stream shows that they are there or
// have become pointless. An append with an uncertain outcome is thereby
// repeated.
type outbox struct {
	letters []letter
}

func (o *outbox) add(l letter) {
	o.letters = append(o.letters, l)
}

// due returns the records to append now, in the order in which they were
// added.
func (o *outbox) due(now oleanderspool.Millis) [][]byte {
	var data [][]byte
	for i := range o.letters {
		if o.letters[i].dueAt > now {
			continue
		}
		o.letters[i].dueAt = now + resendAfter
		data = append(data, encode(o.letters[i].record))
	}
	return data
}

// hasten makes the record of a crash due at once, so that it precedes the
// claim of a trial that needs it.
func (o *outbox) hasten(crash CrashID, now oleanderspool.Millis) {
	for i := range o.letters {
		if o.letters[i].record.crash == crash {
			o.letters[i].dueAt = min(o.letters[i].dueAt, now)
		}
	}
}

// drop removes the letters for which pointless returns true.
func (o *outbox) drop(pointless func(letter) bool) {
	o.letters = slices.DeleteFunc(o.letters, pointless)
}
