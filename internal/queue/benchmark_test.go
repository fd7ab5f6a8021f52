package queue_test

import (
	"fmt"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/queue"
)

// BenchmarkPushToFinish measures pushing and serving an item, at a single point
// in time, by the number of waiting items.
func BenchmarkPushToFinish(b *testing.B) {
	for _, n := range []int{20, 200, 1000, 12_000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			q := queue.New(queue.WithCapacity(2 * n))
			push := func(i int) {
				x := item(fmt.Sprint(i), int64(1000+i%64*1000))
				x.Account = oleanderspool.ClientAccountID(fmt.Sprint("a", i%100))
				if err := q.Push(x, 0); err != nil {
					b.Fatal(err)
				}
			}
			for i := range n {
				push(i)
			}
			next := n
			b.ReportAllocs()
			for b.Loop() {
				push(next)
				next++
				for _, s := range q.Next(ampleMemory, 0).Dispatches {
					q.FirstToken(s.Attempt, 0)
					q.Finished(s.Attempt, 0)
				}
			}
		})
	}
}
