package main

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// changedSettings is case 14: the settings file of an entry changes, with SIGHUP, and
// names another address of the store; the old one is closed after that. The entry goes on
// with the settings of its start.
func changedSettings(root string, trouble bool) int {
	const configTime = 2000 * time.Millisecond // configMs
	routes := func(service string) []route {
		return []route{{"/reserve/", "non_idempotent", service, 1, false, false}}
	}
	tenants := map[string][]string{"alerce": {"key-1"}}
	s := newSite(root, 3, configuration(7, routes("app"), tenants))
	var mu sync.Mutex
	ranAt := map[string]string{} // service by request id
	for i := range 4 {
		name, service := fmt.Sprintf("i-%d", i), "app"
		if i%2 == 1 {
			service = "app-new"
		}
		newRunner(s.store, name, service, "zone-a", func(q *received) bool {
			if !q.readBody() {
				return false
			}
			mu.Lock()
			ranAt[q.id] = service
			mu.Unlock()
			note("runner %s of %s runs %s", name, service, q.id)
			return send(q.conn, signed(q, name, 200, "done"))
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		other := s.store.newGate()
		e, old := s.entries[0], s.gates[0]
		settings, err := os.ReadFile(e.settings)
		if err != nil {
			fatal(err)
		}
		changed := bytes.ReplaceAll(settings, []byte(old.address()), []byte(other.address()))
		if err := os.WriteFile(e.settings, changed, 0o600); err != nil {
			fatal(err)
		}
		e.signal(syscall.SIGHUP)
		note("the settings of entry 0 change: the store is at %s instead of %s; SIGHUP", other.address(), old.address())
		time.Sleep(3 * time.Second)
		old.set(reset)
		_ = old.listener.Close()
		note("the store's old address is closed, 3 s after the SIGHUP")
	}
	time.Sleep(500 * time.Millisecond)
	moved := s.store.put("keyed.op", "config", configuration(9, routes("app-new"), tenants))
	note("the store acknowledges version 9, which moves the route from app to app-new")
	type request struct {
		id    string
		entry int
		late  bool
	}
	var sent []request
	refused := 0
	for n := 0; time.Since(moved) < 12*time.Second; n++ {
		for i, e := range s.entries {
			id := fmt.Sprintf("r%04d-%d", n, i)
			sent = append(sent, request{id, i, time.Since(moved) > configTime+100*time.Millisecond})
			a := once(e.front, call{method: "POST", path: "/reserve/a", host: "site.example", id: id, key: "key-1", body: "x", deadline: 2 * time.Second})
			note("client sent %s to entry %d: %v", id, i, a)
			if a.status == 503 {
				refused++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	late, old := 0, 0
	for _, q := range sent {
		if !q.late {
			continue
		}
		late++
		if ranAt[q.id] == "app" {
			old++
			note("broken: %s, sent to entry %d more than configMs after the acknowledgement of version 9, was run by the old service", q.id, q.entry)
		}
	}
	note("%d of %d requests that were sent more than configMs after the acknowledgement were run by the old service; %d requests were refused with 503", old, late, refused)
	switch {
	case late == 0:
		return cannotDo
	case old > 0:
		return broken
	}
	return held
}
