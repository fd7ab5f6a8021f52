package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/standin/link"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

const (
	host       = "pegs.example"
	stopGrace  = 8 * time.Second
	startBound = 15 * time.Second
)

// route is a route of the soak's configuration and what its callers expect.
type route struct {
	platformtest.Route
	once   bool // runs at most once
	prompt int  // tokens; 0 for a plain service
	events int  // of a whole stream; 0 for a plain answer
}

var routes = []route{
	{platformtest.Route{Name: "reserve", Prefix: "/reserve/", Kind: platformtest.KindNonIdempotent, Service: "app", TimeoutMs: 2500, TTFTGoalMs: 150, Attempts: 2}, true, 0, 0},
	{platformtest.Route{Name: "lookup", Prefix: "/lookup/", Kind: platformtest.KindIdempotent, Service: "app", TimeoutMs: 2500, TTFTGoalMs: 150, Attempts: 2}, false, 0, 0},
	{platformtest.Route{Name: "ask", Prefix: "/ask/", Kind: platformtest.KindStream, Service: "llm", TimeoutMs: 5000, TTFTGoalMs: 300, InterTokenGoalMs: 200, Attempts: 2, Resumable: true}, false, 3000, 20},
	{platformtest.Route{Name: "audit", Prefix: "/audit/", Kind: platformtest.KindStream, Service: "llm", TimeoutMs: 6000, TTFTGoalMs: 3000, InterTokenGoalMs: 800, Attempts: 2, Resumable: true}, false, 600_000, 20},
}

// accounts returns the keys in force: a key of its own for each round of
// revocation, and one that stays.
func accounts(revoked int) map[string][]string {
	keys := []string{"stays"}
	for i := revoked; i < revoked+2; i++ {
		keys = append(keys, key(i))
	}
	return map[string][]string{"crew": keys}
}

func key(round int) string {
	return fmt.Sprintf("round-%d", round)
}

// entry is a process of the program on an address of its own.
type entry struct {
	instance platformtest.Instance
	variable string
	store    *link.Relay

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	err     error // of the exit
	stopped bool  // paused
}

func (e *entry) start(log *os.File) {
	command := exec.Command(binary, "forward")
	command.Env = append(os.Environ(), e.variable)
	command.Stdout, command.Stderr = log, log
	exited := make(chan struct{})
	e.mu.Lock()
	defer e.mu.Unlock()
	Expect(command.Start()).To(Succeed())
	e.command, e.exited, e.stopped = command, exited, false
	go func() {
		err := command.Wait()
		e.mu.Lock()
		e.err = err
		e.mu.Unlock()
		close(exited)
	}()
}

// signal signals the process if it runs.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.exited:
	default:
		_ = e.command.Process.Signal(s) // it may end at this moment
	}
}

func (e *entry) done() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.exited
}

func (e *entry) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.instance.Ready)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// server is a backend server behind a relay.
type server struct {
	*platformtest.Runner
	relay *link.Relay
}

// fleet is a small deployment.
type fleet struct {
	store   *platformtest.Store
	entries []*entry
	servers []server
	log     *os.File
	revoked int // rounds of keys that were taken away
	extra   int // routes that were added
}

// newFleet starts entries, plain servers and engines.
func newFleet(entries, apps, engines int) *fleet {
	directory := GinkgoT().TempDir()
	log, err := os.Create(filepath.Join(directory, "entries.log"))
	Expect(err).NotTo(HaveOccurred())
	f := &fleet{store: platformtest.NewStore(10), log: log}
	DeferCleanup(f.close)
	for i := range apps + engines {
		service, name := "app", fmt.Sprintf("app-%d", i)
		if i >= apps {
			service, name = "llm", fmt.Sprintf("llm-%d", i)
		}
		f.addServer(name, service)
	}
	f.configure()
	var seeds []string
	for i := range entries {
		seeds = append(seeds, address(i)+":8229")
	}
	for i := range entries {
		relay, err := link.New(f.store.Address())
		Expect(err).NotTo(HaveOccurred())
		a := address(i)
		e := &entry{store: relay, instance: platformtest.Instance{
			Name: fmt.Sprintf("front-%d", i), Listen: a + ":8227", Ready: a + ":8220", Control: a + ":8229", Peer: a + ":7340",
			Store: relay.Address(), Seeds: seeds,
		}}
		e.variable, err = f.store.WriteSettings(directory, e.instance)
		Expect(err).NotTo(HaveOccurred())
		e.start(f.log)
		f.entries = append(f.entries, e)
	}
	Eventually(f.ready, startBound, 20*time.Millisecond).Should(BeTrue())
	return f
}

// address returns a loopback address for an entry of this process.
func address(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>14&0x3f, pid>>6&0xff, pid&0x3f*4+i)
}

func (f *fleet) addServer(name, service string) {
	s := server{Runner: platformtest.NewRunner(f.store, name, service)}
	relay, err := link.New(s.Address())
	Expect(err).NotTo(HaveOccurred())
	s.relay = relay
	s.Advertise(relay.Address())
	s.SetBehaviour(answer)
	f.servers = append(f.servers, s)
}

// configure writes the configuration with the present keys and routes.
func (f *fleet) configure() {
	c := platformtest.Configuration{Services: []string{"app"}, Engines: []string{"llm"}, Accounts: accounts(f.revoked)}
	for _, r := range routes {
		r.Host = host
		c.Routes = append(c.Routes, r.Route)
	}
	for i := range f.extra {
		added := c.Routes[1]
		added.Name, added.Prefix = fmt.Sprintf("extra-%d", i), extraPrefix(i)
		c.Routes = append(c.Routes, added)
	}
	f.store.Configure(c)
}

func extraPrefix(i int) string {
	return fmt.Sprintf("/extra-%d/", i)
}

func (f *fleet) ready() bool {
	for _, e := range f.entries {
		if !e.ready() {
			return false
		}
	}
	return true
}

// arrivals returns what all backend servers got, by request.
func (f *fleet) arrivals() map[string][]platformtest.ReceivedRequest {
	all := make(map[string][]platformtest.ReceivedRequest)
	for _, s := range f.servers {
		for _, a := range s.Requests() {
			all[a.ID] = append(all[a.ID], a)
		}
	}
	return all
}

func (f *fleet) held() int {
	held := 0
	for _, s := range f.servers {
		held += s.HeldReservations()
	}
	return held
}

// close ends the processes that this fleet started.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.signal(syscall.SIGKILL)
		Eventually(e.done(), startBound).Should(BeClosed())
		e.store.Close()
	}
	for _, s := range f.servers {
		s.relay.Close()
		s.Close()
	}
	f.store.Close()
	_ = f.log.Close() // it was only written to
}

// answer is how a healthy backend server answers.
func answer(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
	a := platformtest.DecodeRequest(q)
	if a.HasPromptTokens {
		return platformtest.Stream(20, 0, 20*time.Millisecond)(r, w, q)
	}
	time.Sleep(10 * time.Millisecond)
	r.Sign(w, q)
	_, _ = fmt.Fprint(w, wholeAnswer(a.ID)) // the caller may have left
	return true
}

func wholeAnswer(id string) string {
	return "done " + id
}
