// Package buffer bounds the memory that the buffers of a process hold together, so
// that many peers that send without end at the same time do not exhaust it.
package buffer

import (
	"context"
	"io"
	"math/bits"
	"sync"

	"golang.org/x/sync/semaphore"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// Unreserved is the size in bytes up to which a buffer is not counted, so that
	// ordinary requests do not depend on the budget.
	Unreserved = 16 << 10
	// minCapacity is the initial capacity of a buffer in bytes.
	minCapacity = 512
)

// ErrExhausted is the type of the error of a buffer that cannot grow because all
// buffers together have reached their budget.
var ErrExhausted = oleanderspool.ErrUnavailable.NewSubtype("buffer_memory_exhausted")

// Budget is the memory that buffers share. It is safe for concurrent use.
type Budget struct {
	left *semaphore.Weighted
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{left: semaphore.NewWeighted(bytes)}
}

// Reserve takes a number of bytes from the budget and reports whether they were left.
func (b *Budget) Reserve(bytes int) bool {
	return b.left.TryAcquire(int64(bytes))
}

// ReserveWithin is [Budget.Reserve] that waits until ctx ends for other buffers to
// return theirs.
func (b *Budget) ReserveWithin(ctx context.Context, bytes int) bool {
	return b.left.Acquire(ctx, int64(bytes)) == nil
}

// Release returns reserved bytes.
func (b *Budget) Release(bytes int) {
	b.left.Release(int64(bytes))
}

// Memory is where buffers take their memory from.
type Memory interface {
	// Reserve takes a number of bytes and reports whether they were left.
	Reserve(bytes int) bool
	// Release returns reserved bytes.
	Release(bytes int)
}

// Buffer holds bytes. What exceeds its unreserved part is taken from a memory until
// [Buffer.Reset].
type Buffer struct {
	memory      Memory
	unreserved  int
	maxCapacity int // 0 for none
	data        []byte
	reserved    int
}

// New returns an empty buffer. Its first [Unreserved] bytes are not counted.
func New(memory Memory) *Buffer {
	return &Buffer{memory: memory, unreserved: Unreserved}
}

// NewCounted returns an empty buffer that is counted from its first byte on. It
// allocates no more than maxCapacity bytes for a content that fits into them.
func NewCounted(memory Memory, maxCapacity int) *Buffer {
	return &Buffer{memory: memory, maxCapacity: maxCapacity}
}

// Bytes returns the content. It is valid until the next change of the buffer.
func (b *Buffer) Bytes() []byte {
	return b.data
}

// Len returns the size of the content in bytes.
func (b *Buffer) Len() int {
	return len(b.data)
}

// Write appends p as a whole, or returns an error of type [ErrExhausted].
func (b *Buffer) Write(p []byte) (int, error) {
	if err := b.grow(len(p)); err != nil {
		return 0, err
	}
	b.data = append(b.data, p...)
	return len(p), nil
}

// ReadUpTo reads until the content has a number of bytes, and reports whether r ended
// before that. An error of type [ErrExhausted] means that r was not read further.
func (b *Buffer) ReadUpTo(r io.Reader, size int) (ended bool, err error) {
	for len(b.data) < size {
		if err := b.grow(1); err != nil {
			return false, err
		}
		n, err := r.Read(b.data[len(b.data):min(cap(b.data), size)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// Reset empties the buffer and returns its memory to the budget.
func (b *Buffer) Reset() {
	b.data = b.data[:0]
	if b.reserved > 0 {
		b.memory.Release(b.reserved)
		b.data, b.reserved = nil, 0
	}
}

// spare holds the memory of counted buffers that nobody uses, by the binary logarithm of
// its size. Bodies that arrive fast would otherwise leave garbage faster than the
// collector of a busy process frees it.
var spare [bits.UintSize]sync.Pool

func sizeClass(capacity int) int {
	return bits.Len(uint(capacity - 1))
}

// allocate returns memory of the given capacity.
func (b *Buffer) allocate(capacity int) []byte {
	if b.unreserved == 0 {
		if p, ok := spare[sizeClass(capacity)].Get().(*[]byte); ok && cap(*p) >= capacity {
			return (*p)[:0:capacity]
		}
	}
	return make([]byte, 0, capacity)
}

// recycle gives the memory of a counted buffer to later ones.
func (b *Buffer) recycle() {
	if b.unreserved > 0 || cap(b.data) == 0 {
		return
	}
	data := b.data[:0]
	spare[sizeClass(cap(data))].Put(&data)
}

// Discard is [Buffer.Reset] for a content that nobody else has seen, so that its memory
// can be used again.
func (b *Buffer) Discard() {
	b.recycle()
	b.data = nil
	b.Reset()
}

// grow makes room for a number of bytes.
func (b *Buffer) grow(bytes int) error {
	needed := len(b.data) + bytes
	if needed <= cap(b.data) {
		return nil
	}
	capacity := max(minCapacity, 2*cap(b.data), needed)
	if needed <= b.maxCapacity {
		capacity = min(capacity, b.maxCapacity)
	}
	reserved := max(0, capacity-b.unreserved)
	if reserved > 0 && !b.memory.Reserve(reserved) {
		return ErrExhausted.New("no memory for a buffer of %d bytes", capacity)
	}
	grown := b.allocate(capacity)[:len(b.data)]
	copy(grown, b.data)
	b.recycle()
	b.memory.Release(b.reserved)
	b.data, b.reserved = grown, reserved
	return nil
}
