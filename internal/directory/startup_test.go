package directory_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	storeTick          = 5 * oleanderspool.Millis(1)
	storeBytesPerTick  = 400_000 / startScale // 80 MB/s for all reads together
	storeCallsPerS     = 6000 / startScale
	storeCallTime      = 4 * oleanderspool.Millis(1)
	storeCallTimeout   = 700 * time.Millisecond
	storePartRecords   = 500
	serverRecordBytes  = 300
	configurationBytes = 20_000
)

// sharedStore models the time that calls of many entries take at a store whose limits
// they share. All calls in progress get equal parts of the bytes per second. The bytes
// are accounted for, not sent.
type sharedStore struct {
	servers  []directory.Change // ordered by key
	rejected float64            // share of the calls that get 503

	mu        sync.Mutex
	rng       *rand.Rand
	transfers map[*transfer]bool
	sent      float64 // bytes
	second    int64
	calls     int // within the second
	refusals  int
	timeouts  int
}

type transfer struct {
	left float64
	done chan struct{}
}

func (s *sharedStore) run(ctx context.Context) {
	clock.Every(ctx, storeTick, nil, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		part := storeBytesPerTick / float64(max(1, len(s.transfers)))
		for t := range s.transfers {
			s.sent += min(part, t.left)
			t.left -= part
			if t.left <= 0 {
				delete(s.transfers, t)
				close(t.done)
			}
		}
	})
}

// admit counts a call and reports whether the store accepts it.
func (s *sharedStore) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.calls = now, 0
	}
	s.calls++
	if s.calls > storeCallsPerS || s.rng.Float64() < s.rejected {
		s.refusals++
		return false
	}
	return true
}

// call takes the time of a call with a reply of a number of bytes.
func (s *sharedStore) call(ctx context.Context, bytes int) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	clock.Sleep(ctx, storeCallTime)
	if !s.admit() {
		return oleanderspool.ErrUnavailable.New("store replied with status 503")
	}
	t := &transfer{left: float64(bytes), done: make(chan struct{})}
	s.mu.Lock()
	s.transfers[t] = true
	s.mu.Unlock()
	select {
	case <-t.done:
		return nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.transfers, t)
		s.timeouts++
		return oleanderspool.ErrTimeout.New("no reply from the store")
	}
}

// storeFeed is one entry's view of a topic of the shared store.
type storeFeed struct {
	store   *sharedStore
	changes []directory.Change
	bytes   int // of a record
}

func (f storeFeed) Newest(ctx context.Context, after string) (directory.Batch, error) {
	from := 0
	for after != "" && from < len(f.changes) && string(f.changes[from].Instance) <= after {
		from++
	}
	end := min(from+storePartRecords, len(f.changes))
	part := f.changes[from:end]
	batch := directory.Batch{Changes: part, Next: oleanderspool.Offset(len(f.changes)), More: end < len(f.changes), After: string(part[len(part)-1].Instance)}
	return batch, f.store.call(ctx, len(part)*f.bytes)
}

func (f storeFeed) Read(ctx context.Context, from oleanderspool.Offset, wait oleanderspool.Millis) (directory.Batch, error) {
	clock.Sleep(ctx, wait)
	return directory.Batch{Next: from}, f.store.call(ctx, 16)
}

func (f storeFeed) Compacted(error) bool { return false }

// TestStartAfterOutage guards against a fleet whose entries all start at once and serve
// nothing until each has read the whole list of servers, and against lists that are read
// again from their beginning after a call that failed.
func TestStartAfterOutage(t *testing.T) {
	const (
		entries  = 300 / startScale
		servers  = 3000
		maxStart = 3 * time.Second
	)
	services := []string{"llm", "llm", "llm", "llm", "llm", "llm", "llm", "app", "app", "web"}
	for _, c := range []struct {
		name     string
		rejected float64
	}{{"a store within its limits", 0}, {"a store that rejects a tenth of the calls", 0.1}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, stop := context.WithCancel(context.Background())
				var tasks sync.WaitGroup
				defer tasks.Wait()
				defer stop()
				rng := rand.New(rand.NewPCG(20261206, 0))
				store := &sharedStore{rejected: c.rejected, rng: rng, transfers: make(map[*transfer]bool)}
				for i := range servers {
					id := oleanderspool.InstanceID(fmt.Sprintf("i-%08x", i*7919))
					store.servers = append(store.servers, directory.Change{Offset: oleanderspool.Offset(i), Instance: id, Server: &directory.Server{
						Instance: id, Service: services[rng.IntN(len(services))], Address: "10.0.0.1:80",
					}})
				}
				configuration := []directory.Change{{Configuration: directory.NewConfiguration(1, directory.Limits{}, nil, nil, nil)}}
				tasks.Go(func() { store.run(ctx) })
				begin, system, views := time.Now(), clock.NewSystem(), make([]*directory.View, entries)
				for i := range views {
					views[i] = directory.NewView()
					f := directory.NewFollower(views[i], storeFeed{store, configuration, configurationBytes},
						storeFeed{store, store.servers, serverRecordBytes}, system, slog.New(slog.DiscardHandler))
					tasks.Go(func() { f.RunConfigurations(ctx) })
					tasks.Go(func() { f.RunServers(ctx) })
				}
				until := func(condition func(s *directory.Snapshot) bool) (time.Duration, float64) {
					for _, v := range views {
						for !condition(v.Snapshot()) && time.Since(begin) < time.Minute {
							time.Sleep(5 * time.Millisecond)
						}
					}
					store.mu.Lock()
					defer store.mu.Unlock()
					return time.Since(begin), store.sent
				}
				served, servedBytes := until(func(s *directory.Snapshot) bool {
					return s.Configuration != nil && len(s.Servers("llm")) > 0 && len(s.Servers("app")) > 0 && len(s.Servers("web")) > 0
				})
				complete, completeBytes := until(func(s *directory.Snapshot) bool {
					return len(s.Servers("llm"))+len(s.Servers("app"))+len(s.Servers("web")) == servers
				})
				t.Logf("all entries can serve after %v and %.1f MB, have the whole list after %v and %.1f MB; %d calls rejected, %d timed out",
					served, servedBytes/1e6, complete, completeBytes/1e6, store.refusals, store.timeouts)
				g.Expect(served).To(BeNumerically("<", maxStart))
				const part, list = storePartRecords * serverRecordBytes, servers * serverRecordBytes
				g.Expect(servedBytes).To(BeNumerically("<", 3*entries*part), "more than a part of the list is read before an entry can serve")
				// Each entry still reads each part once, so that these bytes grow with entries
				// times servers.
				g.Expect(completeBytes).To(BeNumerically("<", 1.2*entries*list), "lists are read again from the beginning")
			})
		})
	}
}
