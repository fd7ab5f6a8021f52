package main

import (
	"fmt"
	"sync"
	"time"
)

// forgottenHistory is case 15: an entry is cut off from the store for a while in which the
// store drops its history. After the cut it uses runners that are gone for longer than
// allowed.
func forgottenHistory(root string, trouble bool) int {
	const contactTime = 3000 * time.Millisecond // contactMs
	const cutTime = 6050 * time.Millisecond
	var link *partition
	s := newSiteBehind(root, 1, configuration(7, []route{{"/reserve/", "non_idempotent", "app", 1, false, false}}, map[string][]string{"alerce": {"key-1"}}),
		func(g *gate) string {
			link = newPartition(g.address())
			return link.address()
		})
	type arrival struct {
		id, runner string
		at         time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	sentAt := map[string]time.Time{}
	names := 0
	start := func() *runner {
		names++
		name := fmt.Sprintf("i-%d", names)
		return newRunner(s.store, name, "app", "zone-a", func(q *received) bool {
			if !q.readBody() {
				return false
			}
			mu.Lock()
			arrivals = append(arrivals, arrival{q.id, name, q.at})
			mu.Unlock()
			note("runner %s runs %s", name, q.id)
			time.Sleep(30 * time.Millisecond)
			return send(q.conn, signed(q, name, 200, "done"))
		})
	}
	runners := []*runner{start(), start(), start()}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for k := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%05d", k, n)
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				s.ask(0, call{method: "POST", path: "/reserve/a", host: "site.example", id: id, key: "key-1", body: "x", deadline: 2500 * time.Millisecond})
			}
		}()
	}
	type leave struct {
		at, inTouch, until time.Time
	}
	left := map[string]leave{}
	for cycle := range 6 {
		time.Sleep(time.Duration(700+130*cycle) * time.Millisecond)
		inTouch := time.Now()
		if trouble {
			end := link.cut(cutTime)
			inTouch = end.Add(contactTime)
			note("the entry is cut off from the store for %v", cutTime)
			time.Sleep(time.Second)
		} else {
			time.Sleep(time.Second)
		}
		s.store.compact()
		note("the store drops its history; the newest record of each key stays")
		runners = append(runners, start())
		time.Sleep(cutTime - time.Second + 200*time.Millisecond)
		old := runners[0]
		runners = runners[1:]
		at := old.leave()
		note("the store acknowledges that the entry of runner %s is removed", old.id)
		left[old.id] = leave{at, inTouch, at.Add(6 * time.Second)}
		time.AfterFunc(6*time.Second, old.close)
		time.Sleep(6 * time.Second)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, a := range arrivals {
		l, gone := left[a.runner]
		if gone && a.at.Sub(l.at) > drainTime && sentAt[a.id].After(l.inTouch) {
			late++
			note("broken: %s, sent %d ms after the entry was in touch again, reached runner %s %d ms after the acknowledgement that it is gone", a.id, sentAt[a.id].Sub(l.inTouch).Milliseconds(), a.runner, a.at.Sub(l.at).Milliseconds())
		}
	}
	note("%d of %d requests reached a runner more than drainMs after the acknowledgement that it is gone, sent by an entry in touch", late, len(arrivals))
	switch {
	case len(arrivals) == 0:
		return cannotDo
	case late > 0:
		return broken
	}
	return held
}
