package main

import (
	"fmt"
	"sync"
	"time"
)

// deletedRecords is case 12: while the store deletes old records of its keyed topics, as
// it may at any time, the entries go on using a runner that is gone.
func deletedRecords(root string, trouble bool) int {
	const deleteInterval, deleteTime = 500 * time.Millisecond, 12 * time.Second
	s := newSite(root, 3, configuration(7, []route{{"/reserve/", "non_idempotent", "app", 1, false, false}}, map[string][]string{"alerce": {"key-1"}}))
	type arrival struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival // at the runner that leaves
	finished := map[string]bool{}
	var runners []*runner
	for i := range 3 {
		name := fmt.Sprintf("i-%d", i)
		runners = append(runners, newRunner(s.store, name, "app", []string{"zone-a", "zone-b", "zone-c"}[i], func(q *received) bool {
			if !q.readBody() {
				return false
			}
			if name == "i-2" {
				mu.Lock()
				arrivals = append(arrivals, arrival{q.id, q.at})
				mu.Unlock()
			}
			note("runner %s runs %s", name, q.id)
			time.Sleep(300 * time.Millisecond)
			ok := send(q.conn, signed(q, name, 200, "done"))
			mu.Lock()
			finished[q.id] = ok
			mu.Unlock()
			return ok
		}))
	}
	// The other 21 runners of the site only write their entries here, as all do with each
	// heartbeat.
	for i := range 21 {
		newRunner(s.store, fmt.Sprintf("m-%d", i), "llm", []string{"zone-a", "zone-b", "zone-c"}[i%3], func(*received) bool { return false })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for k := range 18 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%04d", k, n)
				s.ask(k%3, call{method: "POST", path: "/reserve/a", host: "site.example", id: id, key: "key-1", body: "x", deadline: 2500 * time.Millisecond})
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if trouble {
		note("the store deletes, each %v for %v, all records of its keyed topics but the newest of each key", deleteInterval, deleteTime)
		go func() {
			for end := time.Now().Add(deleteTime); time.Now().Before(end); time.Sleep(deleteInterval) {
				s.store.compact()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	gone := runners[2].leave()
	note("the store acknowledges that the entry of runner i-2 is removed; the runner goes on serving for 8 s")
	time.Sleep(8 * time.Second)
	runners[2].close()
	note("runner i-2 exits")
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	result, late, lost, latest := held, 0, 0, time.Duration(0)
	for _, a := range arrivals {
		d := a.at.Sub(gone)
		if d <= drainTime {
			continue
		}
		late++
		latest = max(latest, d)
		result = broken
		if !finished[a.id] {
			lost++
			note("lost: %s was running at runner i-2 when it exited", a.id)
		}
	}
	note("%d of %d requests at runner i-2 reached it more than drainMs after the acknowledgement that it is gone, the last one %d ms after it; %d of them were lost", late, len(arrivals), latest.Milliseconds(), lost)
	if len(arrivals) == 0 {
		return cannotDo
	}
	return result
}
