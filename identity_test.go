package oleanderspool_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
)

// TestOffsets guards against a record of a later era that is taken for an older one, and
// against indexes that reach into the era.
func TestOffsets(t *testing.T) {
	g := NewWithT(t)
	ordered := []oleanderspool.Offset{
		0, oleanderspool.OffsetOf(0, 7), oleanderspool.OffsetOf(0, math.MaxInt64), oleanderspool.OffsetOf(1, -1),
		oleanderspool.OffsetOf(1, 3), oleanderspool.OffsetOf(2, 0), oleanderspool.OffsetOf(math.MaxInt64, math.MaxInt64),
	}
	for i, o := range ordered[1:] {
		g.Expect(o).To(BeNumerically(">", ordered[i]))
		g.Expect(oleanderspool.OffsetOf(o.Era(), o.Index())).To(Equal(o))
	}
	g.Expect(ordered[1]).To(Equal(oleanderspool.Offset(7)), "without eras an offset is the index")
	g.Expect(oleanderspool.OffsetOf(-1, 7)).To(Equal(oleanderspool.Offset(7)))
}
