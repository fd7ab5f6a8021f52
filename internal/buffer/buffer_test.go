package buffer_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/buffer"
)

// TestBuffersShareABudget guards against buffers that together hold more than their
// budget, and against memory that is not returned to it.
func TestBuffersShareABudget(t *testing.T) {
	g := NewWithT(t)
	budget := buffer.NewBudget(1 << 20)
	endless := func() io.Reader { return iotest.DataErrReader(strings.NewReader(strings.Repeat("a", 4<<20))) }
	var buffers []*buffer.Buffer
	for range 2 { // what the first round holds is free in the second one
		held := 0
		for range 100 {
			b := buffer.New(budget)
			ended, err := b.ReadUpTo(endless(), 256<<10)
			g.Expect(ended).To(BeFalse())
			g.Expect(err == nil || errorx.IsOfType(err, buffer.ErrExhausted)).To(BeTrue(), "%v", err)
			held += max(0, b.Len()-buffer.Unreserved)
			buffers = append(buffers, b)
		}
		g.Expect(held).To(BeNumerically(">", 512<<10))
		g.Expect(held).To(BeNumerically("<=", 1<<20))
		for _, b := range buffers {
			b.Reset()
			b.Reset()
		}
	}
	g.Expect(budget.Reserve(1 << 20)).To(BeTrue())
}

// TestSmallBuffersNeedNoBudget guards against ordinary requests that fail because
// other requests hold the whole budget.
func TestSmallBuffersNeedNoBudget(t *testing.T) {
	g := NewWithT(t)
	budget := buffer.NewBudget(1)
	g.Expect(budget.Reserve(1)).To(BeTrue())
	b := buffer.New(budget)
	ended, err := b.ReadUpTo(strings.NewReader(strings.Repeat("a", buffer.Unreserved-1)), buffer.Unreserved)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ended).To(BeTrue())
	g.Expect(b.Len()).To(Equal(buffer.Unreserved - 1))
	_, err = b.Write([]byte("aa"))
	g.Expect(errorx.IsOfType(err, buffer.ErrExhausted)).To(BeTrue())
	g.Expect(b.Len()).To(Equal(buffer.Unreserved - 1))
}
