// Package buffer bounds the memory that the buffers of a process hold together, so
// that many peers that send without end at the same time do not exhaust it.
package buffer

import (
	"io"

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

// Release returns reserved bytes.
func (b *Budget) Release(bytes int) {
	b.left.Release(int64(bytes))
}

// Buffer holds bytes. What exceeds [Unreserved] is taken from a budget until
// [Buffer.Reset].
type Buffer struct {
	budget   *Budget
	data     []byte
	reserved int
}

// New returns an empty buffer.
func New(budget *Budget) *Buffer {
	return &Buffer{budget: budget}
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
		b.budget.Release(b.reserved)
		b.data, b.reserved = nil, 0
	}
}

// grow makes room for a number of bytes.
func (b *Buffer) grow(bytes int) error {
	needed := len(b.data) + bytes
	if needed <= cap(b.data) {
		return nil
	}
	capacity := max(minCapacity, 2*cap(b.data), needed)
	reserved := max(0, capacity-Unreserved)
	if reserved > 0 && !b.budget.Reserve(reserved) {
		return ErrExhausted.New("no memory for a buffer of %d bytes", capacity)
	}
	grown := make([]byte, len(b.data), capacity)
	copy(grown, b.data)
	b.budget.Release(b.reserved)
	b.data, b.reserved = grown, reserved
	return nil
}
