package main

import (
	"fmt"
	"sync"
	"time"
)

// publicRoute is case 11: an entry that has no way to the store goes on passing the name
// of a tenant to runners whose key was taken away long ago, on routes that are public.
func publicRoute(root string, trouble bool) int {
	routes := []route{{"/reserve/", "non_idempotent", "app", 1, false, false}, {"/open/", "non_idempotent", "app", 1, true, false}}
	s := newSite(root, 3, configuration(7, routes, map[string][]string{"alerce": {"key-1", "key-2", "key-4"}, "boldo": {"key-3"}}))
	var mu sync.Mutex
	tenants := map[string]string{} // by request id
	for i := range 3 {
		name := fmt.Sprintf("i-%d", i)
		newRunner(s.store, name, "app", "zone-a", func(q *received) bool {
			if !q.readBody() {
				return false
			}
			tenant := q.http.Header.Get("X-Tenant")
			note("runner %s runs %s, X-Tenant %q", name, q.id, tenant)
			mu.Lock()
			tenants[q.id] = tenant
			mu.Unlock()
			return send(q.conn, signed(q, name, 200, "done"))
		})
	}
	time.Sleep(3 * time.Second)
	requests := 0
	ask := func(round, path, key string) (ids []string) {
		for i, e := range s.entries {
			requests++
			id := fmt.Sprintf("%s-%d-%s-%04d", round, i, key, requests)
			a := once(e.front, call{method: "POST", path: path, host: "site.example", id: id, key: key, body: "x", deadline: 2 * time.Second})
			note("client sent %s to entry %d on %s with %s: %v", id, i, path, key, a)
			ids = append(ids, id)
		}
		return ids
	}
	ask("before", "/open/a", "key-1")
	ask("before", "/reserve/a", "key-1")
	if trouble {
		s.gates[0].set(silent)
		note("entry 0 has no way to the store for 9 s")
	}
	cutAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	taken := s.store.put("keyed.op", "config", configuration(9, routes, map[string][]string{"alerce": {"key-2"}, "boldo": {"key-3", "key-4"}}))
	note("the store acknowledges version 9: no tenant holds key-1 any more, and boldo holds key-4 instead of alerce")
	holders := map[string]string{"key-1": "", "key-4": "boldo"}
	type lateRequest struct{ id, key string }
	result, late := held, []lateRequest{}
	for time.Since(cutAt) < 8500*time.Millisecond {
		time.Sleep(600 * time.Millisecond)
		sentAt := time.Now()
		for key := range holders {
			ids := ask("after", "/open/a", key)
			ask("after", "/reserve/a", key)
			if sentAt.Sub(taken) <= revokeTime+200*time.Millisecond {
				continue
			}
			for _, id := range ids {
				late = append(late, lateRequest{id, key})
			}
		}
	}
	s.gates[0].set(open)
	mu.Lock()
	defer mu.Unlock()
	wrong := map[string]int{}
	for _, q := range late {
		if tenant, ran := tenants[q.id]; ran && tenant != holders[q.key] {
			note("broken: %s was sent more than revokeMs after the acknowledgement of version 9 and ran as tenant %q instead of %q", q.id, tenant, holders[q.key])
			result = broken
			wrong[q.key]++
		}
	}
	note("%d requests on the public route were sent more than revokeMs after the acknowledgement; with another tenant than the holder of the key ran %d with key-1 and %d with key-4", len(late), wrong["key-1"], wrong["key-4"])
	if len(late) == 0 {
		return cannotDo
	}
	return result
}
