package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// network hands out loopback addresses that no other process uses.
type network struct{ second int }

func newNetwork() *network { return &network{second: 64 + os.Getpid()%128} }

func (n *network) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.second, third, fourth)
}

// entry is a process of the program under review, on a front machine.
type entry struct {
	name, front, ready string
	command            *exec.Cmd
	done               chan struct{}
	log                string
}

// deployment is a small deployment: the store, four front machines in three zones and
// runners.
type deployment struct {
	net       *network
	folder    string
	store     *store
	entries   []*entry
	links     []*link
	runnersMu sync.Mutex
	runners   []*runner
	stopping  bool // a machine was told to stop
	ranMu     sync.Mutex
	ran       map[string][]run
}

// run is what a runner did with a request.
type run struct {
	at      time.Time
	runner  *runner
	entryIP string
}

var frontZones = []string{"cl-central-a", "cl-central-a", "cl-central-b", "cl-central-c"}

func newDeployment() *deployment {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("no temporary folder: %v", err)
	}
	n := newNetwork()
	d := &deployment{net: n, folder: folder, store: newStore(n.ip(200, 7)), ran: make(map[string][]run)}
	atExit = append(atExit, func() {
		for _, e := range d.entries {
			e.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		} else {
			fmt.Fprintln(os.Stderr, "kept", folder)
		}
	})
	return d
}

// startEntries starts the program on each front machine, with the command of the
// deploy file.
func (d *deployment) startEntries() {
	free := listen(d.net.ip(1, 1) + ":0")
	port := free.Addr().(*net.TCPAddr).Port
	_ = free.Close()
	var seeds []string
	for i := range frontZones[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", d.net.ip(1+i, 1), port+2))
	}
	for i, zone := range frontZones {
		ip := d.net.ip(1+i, 1)
		k := newLink(d.net.ip(100, 1+i), d.store.address)
		d.links = append(d.links, k)
		e := &entry{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), front: fmt.Sprintf("%s:%d", ip, port),
			ready: fmt.Sprintf("%s:%d", ip, port+1), done: make(chan struct{}),
		}
		settings := map[string]any{
			"node": e.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"}, "ip": ip, "zone": zone, "region": "cl-central",
			"zones":         map[string]string{"cl-central-a": "cl-central", "cl-central-b": "cl-central", "cl-central-c": "cl-central"},
			"listen":        map[string]string{"front": e.front, "readyAddr": e.ready, "control": fmt.Sprintf("%s:%d", ip, port+2)},
			"internalPorts": []int{port + 3, port + 18}, "seeds": seeds, "bootstrap": true, "countsAsLoss": false,
			"limits":  map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": memoryMb, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
			"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"},
			"tolerate":  map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "reuseDelayS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
				"configMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000, "strictRevoke": true, "revokeMs": 5000, "retryRatio": 0.2,
				"retryWindowS": 10, "retrySlack": 102, "recoverS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "holdMaxMs": 20000,
				"freeMs": 4000, "idleMaxMs": 9000,
			},
			"provider": map[string]any{
				"address": k.address, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0, "partMbS": 20.0,
				"readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
			},
		}
		file := filepath.Join(d.folder, e.name+".json")
		if err := os.WriteFile(file, encode(settings), 0o600); err != nil {
			cannotRun("settings: %v", err)
		}
		e.start(file, filepath.Join(d.folder, e.name+".log"))
		d.entries = append(d.entries, e)
	}
}

const memoryMb = 284

// start runs the command of deploy/system.toml.
func (e *entry) start(settings, log string) {
	e.log = log
	out, err := os.Create(log)
	if err != nil {
		cannotRun("log: %v", err)
	}
	e.command = exec.Command("target/oleanderspool", "forward")
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERSPOOL_CONFIG=" + settings}
	e.command.Stdout, e.command.Stderr = out, out
	if err := e.command.Start(); err != nil {
		cannotRun("cannot start the program: %v", err)
	}
	go func() {
		err := e.command.Wait()
		_ = out.Close()
		note("%s: process ended: %v", e.name, err)
		close(e.done)
	}()
}

func (e *entry) kill() {
	_ = e.command.Process.Kill()
	<-e.done
}

// awaitReady waits until each entry says that it is ready.
func (d *deployment) awaitReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, e := range d.entries {
		for begin := time.Now(); ; time.Sleep(50 * time.Millisecond) {
			r, err := client.Get("http://" + e.ready + "/-/readyz")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(begin) > 10*time.Second {
				cannotRun("%s does not become ready", e.name)
			}
		}
	}
	note("all entries are ready")
}

// runner is a sound runner of a plain service. It registers itself and renews its
// entry each heartbeat.
type runner struct {
	id, service, zone string
	server            *http.Server
	address           string
	work              time.Duration
	stopBeat          context.CancelFunc
	gone              atomic.Bool
}

func (d *deployment) startRunner(service, zone string, work time.Duration) *runner {
	d.runnersMu.Lock()
	number := len(d.runners) + 1
	r := &runner{id: fmt.Sprintf("i-%08x", 0x7f3a0000+number*7919), service: service, zone: zone, work: work}
	d.runners = append(d.runners, r)
	d.runnersMu.Unlock()
	l := listen(d.net.ip(50, number) + ":0")
	r.address = l.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { d.serve(r, w, q) })}
	go func() { _ = r.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBeat = cancel
	born := time.Now().UnixMilli()
	go func() {
		for seq := 1; ctx.Err() == nil; seq++ {
			d.store.put("keyed.servers", r.id, map[string]any{
				"service": service, "address": r.address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": seq, "born": born,
			})
			select {
			case <-ctx.Done():
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
	return r
}

// serve runs a request as PROTOCOL.md says.
func (d *deployment) serve(r *runner, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if q.Header.Get("X-Expect-Runner") != r.id {
		w.Header().Set("X-Runner-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := time.Now()
	ip, _, _ := net.SplitHostPort(q.RemoteAddr)
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	d.ranMu.Lock()
	d.ran[id] = append(d.ran[id], run{at, r, ip})
	d.ranMu.Unlock()
	note("runner %s of %s runs %s %s (%d bytes)", r.id, r.service, id, q.URL.Path, len(body))
	if r.service == engineService {
		r.stream(w, q)
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	w.Header().Set("X-Runner-Signature", "3e1b.07."+r.id)
	_, _ = w.Write([]byte("done by " + r.id + " for " + id))
}

// streamEvents is the number of events of a stream.
const streamEvents = 25

// stream writes a stream of events, from the one after Last-Event-Id on.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Runner-Signature", "3e1b.07."+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-time.After(r.work):
		case <-q.Context().Done():
			return
		}
	}
}

func (d *deployment) runs(id string) []run {
	d.ranMu.Lock()
	defer d.ranMu.Unlock()
	return append([]run(nil), d.ran[id]...)
}

// answer is what a client got.
type answer struct {
	id, path string
	sentAt   time.Time
	entry    *entry
	status   int // 0 for none
	err      error
	// signature is that of the runner, and size that of the body.
	signature string
	size      int64
}

var lastID atomic.Int64

// client keeps a connection and sends one request after the other.
type client struct {
	http   *http.Client
	entry  *entry
	key    string
	header map[string]string // added to each request
}

func newClient(e *entry, key string) *client {
	return &client{entry: e, key: key, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}}
}

// send sends a request and reads the whole answer.
func (c *client) send(method, path string, body []byte, deadline time.Duration) answer {
	a := answer{id: nextID(), path: path, entry: c.entry}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.entry.front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("X-Request-Id", a.id)
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range c.header {
		q.Header.Set(name, value)
	}
	a.sentAt = time.Now()
	r, err := c.http.Do(q)
	if err == nil {
		a.status, a.signature = r.StatusCode, r.Header.Get("X-Runner-Signature")
		a.size, err = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
	}
	a.err = err
	noteAt(a.sentAt, "client sends %s %s %s to %s: status %d, error %v, after %d ms", a.id, method, path, c.entry.name, a.status, err, time.Since(a.sentAt).Milliseconds())
	return a
}

// sendChunks sends a request on a connection of its own, with a body in chunks that
// follow the header and one another at an interval, and reads the whole answer.
func sendChunks(e *entry, path string, chunks, size int, gap, deadline time.Duration) answer {
	a := answer{id: nextID(), path: path, entry: e, sentAt: time.Now()}
	a.err = func() error {
		c, err := net.DialTimeout("tcp4", e.front, time.Second)
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(a.sentAt.Add(deadline))
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n",
			path, host, a.id, deadline.Milliseconds(), key)
		if _, err := io.WriteString(c, head); err != nil {
			return err
		}
		for range chunks {
			time.Sleep(gap)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("p"), size)); err != nil {
				return err
			}
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return err
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err
		}
		a.status, a.signature = r.StatusCode, r.Header.Get("X-Runner-Signature")
		a.size, err = io.Copy(io.Discard, r.Body)
		return err
	}()
	noteAt(a.sentAt, "client sends %s POST %s to %s: status %d, error %v, after %d ms", a.id, path, e.name, a.status, a.err, time.Since(a.sentAt).Milliseconds())
	return a
}

func nextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }
