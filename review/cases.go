package main

import (
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(trouble bool){
	"silent-config": silentConfig,
	"silent-drain":  silentDrain,
	"late-body":     lateBody,
	"stop-signal":   stopSignal,
}

const (
	contact  = 3000 * time.Millisecond // contactMs
	configIn = 2000 * time.Millisecond // configMs
	drainIn  = 2000 * time.Millisecond // drainMs
)

var keys = map[string][]string{"hule930": {"n2ctnfzs989anu6wsjnb"}}

const key = "n2ctnfzs989anu6wsjnb"

// steady sends requests to each entry at an interval until a time, and returns what the
// clients got.
func steady(d *deployment, method, path string, body []byte, every time.Duration, until time.Time) func() []answer {
	var mu sync.Mutex
	var all []answer
	var wait sync.WaitGroup
	const clients = 4 // per entry
	for _, e := range d.entries {
		for i := range clients {
			wait.Add(1)
			go func() {
				defer wait.Done()
				c := newClient(e, key)
				time.Sleep(every * time.Duration(i))
				for time.Now().Before(until) {
					next := time.Now().Add(every * clients)
					a := c.send(method, path, body, 2500*time.Millisecond)
					mu.Lock()
					all = append(all, a)
					mu.Unlock()
					time.Sleep(time.Until(next))
				}
			}()
		}
	}
	return func() []answer {
		wait.Wait()
		return all
	}
}

// silentConfig: the open connections to the store go silent between two changes of the
// configuration.
func silentConfig(trouble bool) {
	d := newDeployment()
	lookups := route{name: "r-1", prefix: "/cufi504/", kind: "idempotent", service: "xano55b", timeoutMs: 1200, goalMs: 150, attempts: 2}
	other := route{name: "r-2", prefix: "/puxa403/", kind: "non_idempotent", service: "xano55b", timeoutMs: 1200, goalMs: 150, attempts: 1}
	services := []string{"xano55b", "huvo11a"}
	d.store.configure(services, keys, lookups, other)
	for _, s := range services {
		for _, z := range frontZones[1:] {
			d.startRunner(s, z, 20*time.Millisecond)
		}
	}
	d.startEntries()
	d.awaitReady()
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines
	finish := steady(d, "GET", "/cufi504/fi50/2f", nil, 10*time.Millisecond, time.Now().Add(14*time.Second))
	time.Sleep(4 * time.Second)
	for i := range 3 {
		other.timeoutMs = 1200 + 50*i
		d.store.configure(services, keys, lookups, other)
		time.Sleep(150 * time.Millisecond)
	}
	silentAt := time.Now()
	if trouble {
		for i, k := range d.links {
			note("the %d open connections of %s to the store go silent", k.silence(), d.entries[i].name)
		}
	}
	time.Sleep(150 * time.Millisecond)
	lookups.service = "huvo11a"
	_, ack := d.store.configure(services, keys, lookups, other)
	late, last := 0, time.Duration(0)
	for _, a := range finish() {
		if a.sentAt.Before(ack.Add(configIn)) || a.sentAt.Before(silentAt.Add(contact)) {
			continue
		}
		for _, r := range d.runs(a.id) {
			if r.runner.service == "xano55b" {
				late++
				last = max(last, a.sentAt.Sub(ack))
				noteAt(a.sentAt, "BROKEN: %s, sent to %s %d ms after the acknowledgement and %d ms after the connections went silent, ran at the old service", a.id, a.entry.name,
					a.sentAt.Sub(ack).Milliseconds(), a.sentAt.Sub(silentAt).Milliseconds())
			}
		}
	}
	verdict(late > 0, "%d requests, sent later than configMs after the acknowledgement to machines in touch, ran at the old service; the last was sent %d ms after it", late, last.Milliseconds())
}

// silentDrain: the open connections to the store go silent, and a runner leaves.
func silentDrain(trouble bool) {
	d := newDeployment()
	reserve := route{name: "r-2", prefix: "/puxa403/", kind: "non_idempotent", service: "xano55b", timeoutMs: 1200, goalMs: 150, attempts: 1}
	d.store.configure([]string{"xano55b"}, keys, reserve)
	for _, z := range frontZones {
		d.startRunner("xano55b", z, 60*time.Millisecond)
	}
	d.startEntries()
	d.awaitReady()
	time.Sleep(10 * time.Second)
	finish := steady(d, "POST", "/puxa403/2f", make([]byte, 600), 25*time.Millisecond, time.Now().Add(12*time.Second))
	time.Sleep(3 * time.Second)
	silentAt := time.Now()
	if trouble {
		for i, k := range d.links {
			note("the %d open connections of %s to the store go silent", k.silence(), d.entries[i].name)
		}
	}
	time.Sleep(400 * time.Millisecond)
	leaver := d.runners[0]
	leaver.stopBeat()
	time.Sleep(20 * time.Millisecond)
	ack := d.store.put("keyed.servers", leaver.id, nil)
	note("the entry of %s is removed", leaver.id)
	// It never reports draining, serves for drainMs and a little longer, and exits.
	time.AfterFunc(time.Until(ack.Add(drainIn+2*time.Second)), func() {
		note("%s exits", leaver.id)
		_ = leaver.server.Close()
	})
	late, lost, last := 0, 0, time.Duration(0)
	for _, a := range finish() {
		for _, r := range d.runs(a.id) {
			if r.runner != leaver || a.sentAt.Before(silentAt.Add(contact)) || r.at.Before(ack.Add(drainIn)) {
				continue
			}
			late++
			last = max(last, r.at.Sub(ack))
			if a.status != 200 {
				lost++
			}
			noteAt(r.at, "BROKEN: %s, sent to %s, reached %s %d ms after its removal was acknowledged and %d ms after the connections went silent; the client got %d", a.id, a.entry.name,
				leaver.id, r.at.Sub(ack).Milliseconds(), r.at.Sub(silentAt).Milliseconds(), a.status)
		}
	}
	verdict(late > 0, "%d requests, taken by machines in touch, reached the runner later than drainMs after its removal was acknowledged, the last %d ms after it; %d of them had run and were lost", late, last.Milliseconds(), lost)
}

// lateBody: front machines freeze while callers send the bodies of reservations.
func lateBody(trouble bool) {
	d := newDeployment()
	reserve := route{name: "r-2", prefix: "/puxa403/", kind: "non_idempotent", service: "xano55b", timeoutMs: 1200, goalMs: 150, attempts: 1}
	d.store.configure([]string{"xano55b"}, keys, reserve)
	for _, z := range frontZones[1:] {
		d.startRunner("xano55b", z, 30*time.Millisecond)
	}
	d.startEntries()
	d.awaitReady()
	time.Sleep(10 * time.Second)
	var mu sync.Mutex
	var all []answer
	var wait sync.WaitGroup
	until := time.Now().Add(26 * time.Second)
	const clients = 12 // per entry
	for _, e := range d.entries {
		for i := range clients {
			wait.Add(1)
			go func() {
				defer wait.Done()
				time.Sleep(time.Duration(i) * 35 * time.Millisecond)
				for time.Now().Before(until) {
					next := time.Now().Add(clients * 35 * time.Millisecond)
					a := sendChunks(e, "/puxa403/2f", 3, 200, 100*time.Millisecond, 2500*time.Millisecond)
					mu.Lock()
					all = append(all, a)
					mu.Unlock()
					time.Sleep(time.Until(next))
				}
			}()
		}
	}
	time.Sleep(2 * time.Second)
	for _, e := range d.entries {
		if trouble {
			note("%s freezes", e.name)
			_ = e.command.Process.Signal(syscall.SIGSTOP)
			time.Sleep(1800 * time.Millisecond)
			_ = e.command.Process.Signal(syscall.SIGCONT)
			note("%s wakes", e.name)
		}
		time.Sleep(4 * time.Second)
	}
	wait.Wait()
	unsigned, neverRun, served := 0, 0, 0
	for _, a := range all {
		if a.status/100 != 2 {
			continue
		}
		served++
		if a.signature != "" {
			continue
		}
		unsigned++
		if len(d.runs(a.id)) == 0 {
			neverRun++
		}
		noteAt(a.sentAt, "BROKEN: the client of %s at %s got status %d, a body of %d bytes and no signature; runners that ran it: %d", a.id, a.entry.name, a.status, a.size, len(d.runs(a.id)))
	}
	verdict(unsigned > 0, "%d of %d successes had no signature of a runner; %d of these reservations never ran", unsigned, served, neverRun)
}

// stopSignal: a front machine is stopped, and its settings change a second later.
func stopSignal(trouble bool) {
	d := newDeployment()
	questions := route{name: "r-3", prefix: "/lohu930/", kind: "stream", service: engineService, timeoutMs: 10000, goalMs: 300, attempts: 2}
	d.store.configure([]string{engineService}, keys, questions)
	for i := range 6 {
		d.startRunner(engineService, frontZones[1+i%3], 100*time.Millisecond)
	}
	d.startEntries()
	d.awaitReady()
	time.Sleep(10 * time.Second)
	var mu sync.Mutex
	var all []answer
	var wait sync.WaitGroup
	stopped := d.entries[0]
	stopAt := time.Now().Add(4 * time.Second)
	// The balancer opens no connections to the stopping machine after two misses, 2 s later.
	for begin := time.Now(); time.Since(begin) < 8*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, e := range d.entries {
			if e == stopped && time.Since(stopAt) > 2*time.Second {
				continue
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				c := newClient(e, key)
				c.header = map[string]string{"X-Model": "m", "X-Token-Count": "4960,1610", "X-Prompt-Prefix": "5c1e07a2:40,91bd3f06:4920"}
				a := c.send("POST", "/lohu930/2f", make([]byte, 1200), 10*time.Second)
				c.http.CloseIdleConnections()
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
			}()
		}
		if time.Now().After(stopAt) && !d.stopping {
			d.stopping = true
			note("%s gets SIGTERM", stopped.name)
			_ = stopped.command.Process.Signal(syscall.SIGTERM)
			if trouble {
				time.AfterFunc(time.Second, func() {
					note("%s gets SIGHUP", stopped.name)
					_ = stopped.command.Process.Signal(syscall.SIGHUP)
				})
			}
		}
	}
	wait.Wait()
	lost := 0
	for _, a := range all {
		if a.entry != stopped || a.err == nil || len(d.runs(a.id)) == 0 {
			continue
		}
		lost++
		noteAt(a.sentAt, "BROKEN: %s was passed on to a runner, and its connection ended without a complete answer: status %d, %d bytes, %v", a.id, a.status, a.size, a.err)
	}
	verdict(lost > 0, "%d of %d requests were read and passed on by the stopping process and ended without a complete answer", lost, len(all))
}
