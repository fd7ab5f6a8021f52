package directory_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// partFeed lists the servers a to f in parts of two, as of offset 10, and records the
// reads. Calls fail while their number is in fails; each takes a duration.
type partFeed struct {
	reads    []string
	fails    map[int]bool
	duration oleanderspool.Millis
	later    []directory.Change // from offset 10 on
}

func (f *partFeed) call(ctx context.Context, read string) error {
	clock.Sleep(ctx, f.duration)
	f.reads = append(f.reads, read)
	if f.fails[len(f.reads)] {
		return oleanderspool.ErrUnavailable.New("store replied with status 429")
	}
	return nil
}

func (f *partFeed) Newest(ctx context.Context, after string) (directory.Batch, error) {
	if err := f.call(ctx, "after:"+after); err != nil {
		return directory.Batch{}, err
	}
	const ids = "abcdef"
	from := strings.Index(ids, after) + len(after)
	b := directory.Batch{Next: 10, More: from+2 < len(ids), After: ids[from+1 : from+2]}
	for i := from; i < from+2; i++ {
		b.Changes = append(b.Changes, newServer(ids[i:i+1], oleanderspool.Offset(i)))
	}
	return b, nil
}

func (f *partFeed) Read(ctx context.Context, from oleanderspool.Offset, _ oleanderspool.Millis) (directory.Batch, error) {
	if err := f.call(ctx, "read"); err != nil {
		return directory.Batch{}, err
	}
	return directory.Batch{Changes: f.later[from-10:], Next: 10 + oleanderspool.Offset(len(f.later))}, nil
}

func (f *partFeed) Compacted(error) bool { return false }

func newServer(id string, offset oleanderspool.Offset) directory.Change {
	return directory.Change{Instance: oleanderspool.InstanceID(id), Offset: offset, Server: &directory.Server{Instance: oleanderspool.InstanceID(id), Service: "s"}}
}

// TestServerList guards against a list that starts again from its first part after a
// failure, parts that are used only once the list is complete, a change of a server in
// use that is known only then, a removal that an older part undoes, servers that are
// removed because the list is not complete yet, and an assumed fleet that is smaller
// meanwhile.
func TestServerList(t *testing.T) {
	removed := directory.Change{Instance: "e", Offset: 10, Removed: true}
	for _, c := range []struct {
		name   string
		feed   partFeed
		known  []oleanderspool.InstanceID // in the view before
		reads  string                     // until the list is complete
		counts []int                      // of servers after 250, 950 and 9,000 ms
		left   string
	}{
		{"is used in parts", partFeed{duration: 100}, nil, "after: read after:b after:d", []int{2, 6, 6}, "abcdef"},
		{
			"continues after the part that failed",
			partFeed{duration: 100, fails: map[int]bool{3: true, 4: true}},
			nil,
			"after: read after:b after:b after:b after:d",
			[]int{2, 6, 6},
			"abcdef",
		},
		{"is interrupted by reads of changes", partFeed{duration: 400}, nil, "after: read after:b read after:d", []int{0, 2, 6}, "abcdef"},
		{"does not undo a removal", partFeed{duration: 100, later: []directory.Change{removed}}, nil, "after: read after:b after:d", []int{2, 5, 5}, "abcdf"},
		{"removes unlisted servers at its end", partFeed{duration: 200}, []oleanderspool.InstanceID{"x"}, "after: read after:b after:d", []int{3, 6, 6}, "abcdef"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, stop := context.WithCancel(context.Background())
				view := directory.NewView()
				for _, id := range c.known {
					view.Register(newServer(string(id), 1))
				}
				f := directory.NewFollower(view, &c.feed, &c.feed, clock.NewSystem(), slog.New(slog.DiscardHandler))
				done := make(chan struct{})
				go func() {
					f.RunServers(ctx)
					close(done)
				}()
				var counts []int
				begin := time.Now()
				for _, at := range []time.Duration{250, 950, 9000} {
					time.Sleep(at*time.Millisecond - time.Since(begin))
					s := view.Snapshot()
					counts = append(counts, len(s.Servers("s")))
					if len(s.Servers("s")) > 0 {
						g.Expect(s.ServerCount()).To(BeNumerically(">=", len(c.left)))
					}
				}
				stop()
				<-done
				left := ""
				for _, s := range view.Snapshot().Servers("s") {
					left += string(s.Instance)
				}
				g.Expect(counts).To(Equal(c.counts))
				g.Expect(left).To(Equal(c.left))
				g.Expect(view.Snapshot().IsIncomplete()).To(BeFalse())
				g.Expect(strings.Join(c.feed.reads, " ")).To(HavePrefix(c.reads + " read"))
				g.Expect(strings.Count(strings.Join(c.feed.reads, " "), "after: ")).To(Equal(1))
			})
		})
	}
}
