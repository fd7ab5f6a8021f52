package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// cases are the scripts by number. Each returns the result of the case.
var cases = map[string]func(root string, trouble bool) int{
	"11": publicRoute,
	"12": deletedRecords,
	"13": foreignEntry,
	"14": changedSettings,
	"15": forgottenHistory,
}

// The figures of the settings that the cases judge by.
const (
	drainTime  = 2000 * time.Millisecond // drainMs
	revokeTime = 5000 * time.Millisecond // revokeMs
)

// route is a route of a configuration.
type route struct {
	prefix, kind, service string
	attempts              int
	public, resume        bool
}

// configuration encodes a configuration as the operator writes it.
func configuration(version int, routes []route, tenants map[string][]string) []byte {
	var list, accounts []any
	services := map[string]bool{}
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": "site.example", "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": 2500, "goalMs": 300,
			"priority": 1, "service": r.service, "attempts": r.attempts, "public": r.public, "sticky": false, "canResume": r.resume, "gapAimMs": 200,
		})
		services[r.service] = true
	}
	for name, keys := range tenants {
		accounts = append(accounts, map[string]any{"name": name, "apiKeys": keys, "priority": 1})
	}
	var names []any
	for name := range services {
		names = append(names, map[string]any{"name": name, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": names, "tenants": accounts,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		fatal(err)
	}
	return data
}

// site is a small deployment: entries with a gate to the store each.
type site struct {
	store   *store
	gates   []*gate
	entries []*entry
}

// newSite starts entries in three zones and waits until they are ready.
func newSite(root string, entries int, config []byte) *site {
	return newSiteBehind(root, entries, config, func(g *gate) string { return g.address() })
}

// newSiteBehind is newSite with entries that reach their gates at other addresses.
func newSiteBehind(root string, entries int, config []byte, address func(*gate) string) *site {
	s := &site{store: newStore()}
	s.store.put("keyed.op", "config", config)
	n := newNetwork()
	n.machines = entries
	for i := range entries {
		g := s.store.newGate()
		e := n.newEntry(temporary, i, []string{"zone-a", "zone-b", "zone-c"}[i%3], address(g))
		e.start(root)
		s.gates, s.entries = append(s.gates, g), append(s.entries, e)
	}
	for _, e := range s.entries {
		if !e.awaitReady(15 * time.Second) {
			fatal(fmt.Errorf("the entry at %s is not ready", e.front))
		}
	}
	return s
}

// ask sends a request of a client to an entry on a new connection.
func (s *site) ask(entry int, q call) {
	note("client sent %s to entry %d", q.id, entry)
	a := once(s.entries[entry].front, q)
	note("client got for %s: %v", q.id, a)
}

// signed encodes a runner's answer with a length.
func signed(q *received, runner string, status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Runner-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", status, q.id, runner, q.id, len(body), body)
}
