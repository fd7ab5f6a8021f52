package forward

import (
	"context"
	"io"
	"sync"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/buffer"
	"github.com/oleanderspool/oleanderspool/internal/clientlimit"
	"github.com/oleanderspool/oleanderspool/internal/observe"
)

const (
	// kindBodyMemory counts bodies that found no room, and kindSlowBody those that were
	// refused in favour of others.
	kindBodyMemory = "client_body_memory"
	kindSlowBody   = "client_slow_body"
	// bodyMemoryWait is how long a body waits for the memory of a refused one, in steps of
	// bodyMemoryStep. After the grace of new bodies one can be refused.
	bodyMemoryWait = 600 * oleanderspool.Millis(1)
	bodyMemoryStep = 50 * oleanderspool.Millis(1)
)

// bodies is the memory of the bodies of all requests.
type bodies struct {
	clock  oleanderspool.Clock
	tally  *observe.Tally
	budget *buffer.Budget
	small  *buffer.Budget // for buffers up to buffer.Unreserved

	mu      sync.Mutex
	lastID  clientlimit.ID
	uploads *clientlimit.Uploads
	cancel  map[clientlimit.ID]func() // stops receiving a body
}

func newBodies(limits clientlimit.Limits, clock oleanderspool.Clock, tally *observe.Tally) *bodies {
	return &bodies{
		clock: clock, tally: tally, budget: buffer.NewBudget(limits.BodyMemory), small: buffer.NewBudget(limits.SmallBodyMemory),
		uploads: clientlimit.NewUploads(), cancel: make(map[clientlimit.ID]func()),
	}
}

// start adds a body that cancel stops receiving.
func (b *bodies) start(ctx context.Context, cancel func()) *upload {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	b.uploads.Start(b.lastID, b.clock.Now())
	b.cancel[b.lastID] = cancel
	return &upload{bodies: b, ctx: ctx, id: b.lastID}
}

// refuse stops receiving a body so that a number of bytes become free for another one.
func (b *bodies) refuse(bytes int, other clientlimit.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := b.uploads.Refuse(bytes, other, b.clock.Now())
	if id == 0 {
		return
	}
	b.tally.Record(kindSlowBody)
	b.cancel[id]()
}

// upload is the body of a request, as long as it holds memory. It is the
// [buffer.Memory] of its buffer.
type upload struct {
	bodies *bodies
	ctx    context.Context // of the request
	id     clientlimit.ID
	held   int // bytes of both budgets
	small  int // bytes of the budget for small buffers
}

// newBuffer returns the buffer of a body of a length, or of an unknown one (-1), up to
// a limit. It has room for one byte more, in which the end is found.
func (u *upload) newBuffer(length, limit int64) *buffer.Buffer {
	if length >= 0 {
		limit = min(limit, length)
	}
	return buffer.NewCounted(u, int(limit)+1)
}

// reader returns a reader that records the progress of the body.
func (u *upload) reader(r io.Reader) io.Reader {
	return readerFunc(func(p []byte) (int, error) {
		n, err := r.Read(p)
		u.bodies.mu.Lock()
		defer u.bodies.mu.Unlock()
		u.bodies.uploads.Receive(u.id, n, u.bodies.clock.Now())
		return n, err
	})
}

type readerFunc func([]byte) (int, error)

// Read implements [io.Reader].
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// finish records that the body has arrived or failed, and reports whether it was
// refused in favour of others.
func (u *upload) finish() bool {
	u.bodies.mu.Lock()
	defer u.bodies.mu.Unlock()
	delete(u.bodies.cancel, u.id)
	return u.bodies.uploads.Finish(u.id)
}

// Reserve implements [buffer.Memory]. Without room it refuses the body that makes the
// least progress, and waits for its memory.
func (u *upload) Reserve(bytes int) bool {
	if bytes <= buffer.Unreserved && u.bodies.small.Reserve(bytes) {
		u.small += bytes
		u.hold(bytes)
		return true
	}
	for waited := oleanderspool.Millis(0); waited <= bodyMemoryWait; waited += bodyMemoryStep {
		if u.bodies.budget.Reserve(bytes) || waited > 0 && u.await(bytes) {
			u.hold(bytes)
			return true
		}
		u.bodies.refuse(bytes, u.id)
		if u.ctx.Err() != nil || u.refused() {
			return false
		}
	}
	return false
}

func (u *upload) await(bytes int) bool {
	ctx, cancel := context.WithTimeout(u.ctx, bodyMemoryStep.Duration())
	defer cancel()
	return u.bodies.budget.ReserveWithin(ctx, bytes)
}

func (u *upload) refused() bool {
	u.bodies.mu.Lock()
	defer u.bodies.mu.Unlock()
	return u.bodies.uploads.Refused(u.id)
}

// hold records a change of the memory that the body holds.
func (u *upload) hold(bytes int) {
	u.held += bytes
	u.bodies.mu.Lock()
	defer u.bodies.mu.Unlock()
	u.bodies.uploads.Hold(u.id, u.held)
}

// Release implements [buffer.Memory].
func (u *upload) Release(bytes int) {
	small := min(bytes, u.small)
	if bytes > buffer.Unreserved {
		small = 0
	}
	u.small -= small
	u.bodies.small.Release(small)
	u.bodies.budget.Release(bytes - small)
	u.hold(-bytes)
}

// resetBody returns the memory of the body.
func (t *transaction) resetBody() {
	t.body.Reset()
	if t.upload != nil {
		t.upload.bodies.mu.Lock()
		defer t.upload.bodies.mu.Unlock()
		t.upload.bodies.uploads.Return(t.upload.id)
	}
}
