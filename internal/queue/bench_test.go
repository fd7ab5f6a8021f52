package queue_test

import (
	"fmt"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/queue"
)

// BenchmarkPushNext measures pushing one item and serving another with the given
// number of items in the queue.
func BenchmarkPushNext(b *testing.B) {
	for _, n := range []int{20, 200, 2000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := queue.New(queue.WithCapacity(1_000_000))
			now, serial := oleanderspool.Millis(0), 0
			push := func() {
				serial++
				i := item(fmt.Sprint(serial), int64(serial*7919%100_000)+1)
				i.Account = oleanderspool.ClientAccountID(fmt.Sprint(serial % 10))
				i.Deadline = now + oleanderspool.Hour*1000
				if err := q.Push(i, now); err != nil {
					b.Fatal(err)
				}
			}
			for range n {
				push()
			}
			b.ReportAllocs()
			for b.Loop() {
				now++
				push()
				for _, x := range q.Next(ampleMemory, now).Dispatches {
					q.FirstToken(x.Attempt, now+1)
					q.Finished(x.Attempt, now+1)
				}
			}
		})
	}
}
