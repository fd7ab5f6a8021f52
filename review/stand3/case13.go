package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// foreignEntry is case 13: another writer puts an entry with missing fields under the id
// of a runner that is gone, and the entries send requests to that runner again.
func foreignEntry(root string, trouble bool) int {
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
		runners = append(runners, newRunner(s.store, name, "app", "zone-a", func(q *received) bool {
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
	time.Sleep(3 * time.Second)
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
	gone := runners[2].leave()
	note("the store acknowledges that the entry of runner i-2 is removed; the runner goes on serving for 10 s")
	time.Sleep(3 * time.Second)
	if trouble {
		value, err := json.Marshal(map[string]any{"service": "app", "address": runners[2].address(), "zone": "zone-a", "slots": 16, "state": "ready"})
		if err != nil {
			fatal(err)
		}
		s.store.put("keyed.servers", "i-2", value)
		note("another writer writes servers/i-2 without version, coldLeftMs, seq and born: %s", value)
	}
	time.Sleep(7 * time.Second)
	runners[2].close()
	note("runner i-2 exits")
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	result, late, lost := held, 0, 0
	for _, a := range arrivals {
		if a.at.Sub(gone) <= drainTime {
			continue
		}
		late++
		result = broken
		if !finished[a.id] {
			lost++
			note("lost: %s was running at runner i-2 when it exited", a.id)
		}
	}
	note("%d of %d requests at runner i-2 reached it more than drainMs after the acknowledgement that it is gone; %d of them were lost", late, len(arrivals), lost)
	if len(arrivals) == 0 {
		return cannotDo
	}
	return result
}
