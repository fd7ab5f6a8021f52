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
	startLimit = 15 * time.Second
	// maxEntries is the maximum number of entries of a fleet.
	maxEntries = 16
)

// route is a configured route and what its callers expect of it.
type route struct {
	platformtest.Route
	atMostOnce   bool // a request may run at most once
	promptTokens int  // 0 for a service that is not an engine
	events       int  // number in a complete stream; 0 for an answer that is not a stream
}

var routes = []route{
	{platformtest.Route{Name: "reserve", Prefix: "/reserve/", Kind: platformtest.KindNonIdempotent, Service: "app", TimeoutMs: 2500, TTFTGoalMs: 150, Attempts: 2}, true, 0, 0},
	{platformtest.Route{Name: "lookup", Prefix: "/lookup/", Kind: platformtest.KindIdempotent, Service: "app", TimeoutMs: 2500, TTFTGoalMs: 150, Attempts: 2}, false, 0, 0},
	{platformtest.Route{Name: "ask", Prefix: "/ask/", Kind: platformtest.KindStream, Service: "llm", TimeoutMs: 5000, TTFTGoalMs: 300, InterTokenGoalMs: 200, Attempts: 2, Resumable: true}, false, 3000, 20},
	{platformtest.Route{Name: "audit", Prefix: "/audit/", Kind: platformtest.KindStream, Service: "llm", TimeoutMs: 6000, TTFTGoalMs: 3000, InterTokenGoalMs: 800, Attempts: 2, Resumable: true}, false, 600_000, 20},
}

// accountKeys returns the valid keys by client account: one that is never revoked and
// those of the current and the next round of revocation.
func accountKeys(revokedRounds int) map[string][]string {
	keys := []string{"stays"}
	for i := revokedRounds; i < revokedRounds+2; i++ {
		keys = append(keys, key(i))
	}
	return map[string][]string{"crew": keys}
}

func key(round int) string {
	return fmt.Sprintf("round-%d", round)
}

// entry is a process of the program with its own loopback address.
type entry struct {
	instance       platformtest.Instance
	configVariable string
	store          *link.Relay

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	err     error // of the process exit
	paused  bool
}

func (e *entry) start(log *os.File) {
	command := exec.Command(binary, "forward")
	command.Env = append(os.Environ(), e.configVariable)
	command.Stdout, command.Stderr = log, log
	exited := make(chan struct{})
	e.mu.Lock()
	defer e.mu.Unlock()
	Expect(command.Start()).To(Succeed())
	e.command, e.exited, e.paused = command, exited, false
	go func() {
		err := command.Wait()
		e.mu.Lock()
		e.err = err
		e.mu.Unlock()
		close(exited)
	}()
}

// signal sends a signal to the process if it is running.
func (e *entry) signal(s syscall.Signal) {
	e.signalProcess(e.done(), s)
}

// signalProcess sends a signal to the process whose exit closes a channel, unless another
// one has been started since.
func (e *entry) signalProcess(exited <-chan struct{}, s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.exited != exited {
		return
	}
	select {
	case <-exited:
	default:
		_ = e.command.Process.Signal(s) // the process may exit at this moment
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

// fleet is a small deployment: a store, entries and backend servers.
type fleet struct {
	store         *platformtest.Store
	entries       []*entry
	servers       []server
	log           *os.File
	revokedRounds int // number of rounds of keys revoked so far
	addedRoutes   int // number of routes added so far
	allFaults     bool
}

// newFleet starts the given numbers of entries, application servers and engines. With
// allFaults set, the servers are in two data centres and have a slow-start limit.
func newFleet(entries, apps, engines int, allFaults bool) *fleet {
	directory := GinkgoT().TempDir()
	log, err := os.Create(filepath.Join(directory, "entries.log"))
	Expect(err).NotTo(HaveOccurred())
	f := &fleet{store: platformtest.NewStore(10), log: log, allFaults: allFaults}
	DeferCleanup(f.close)
	for i := range apps + engines {
		service, name := "app", fmt.Sprintf("app-%d", i)
		if i >= apps {
			service, name = "llm", fmt.Sprintf("llm-%d", i)
		}
		f.addServer(name, service)
		if allFaults {
			f.servers[i].SetDataCentre(dataCentres[i%len(dataCentres)])
		}
	}
	f.configure()
	var seeds []string
	for i := range entries {
		seeds = append(seeds, loopbackAddress(i)+":8229")
	}
	for i := range entries {
		relay, err := link.New(f.store.Address())
		Expect(err).NotTo(HaveOccurred())
		a := loopbackAddress(i)
		e := &entry{store: relay, instance: platformtest.Instance{
			Name: fmt.Sprintf("front-%d", i), Listen: a + ":8227", Ready: a + ":8220", Control: a + ":8229", Peer: a + ":7340",
			Store: relay.Address(), Seeds: seeds,
		}}
		e.configVariable, err = f.store.WriteSettings(directory, e.instance)
		Expect(err).NotTo(HaveOccurred())
		e.start(f.log)
		f.entries = append(f.entries, e)
	}
	Eventually(f.ready, startLimit, 20*time.Millisecond).Should(BeTrue())
	return f
}

// loopbackAddress returns the loopback address of entry i. It depends on the ID of this
// process, so that test processes that run at the same time don't share addresses.
func loopbackAddress(i int) string {
	n := os.Getpid()*maxEntries + i
	return fmt.Sprintf("127.%d.%d.%d", 128+n>>16&0x7f, n>>8&0xff, n&0xff)
}

func (f *fleet) addServer(name, service string) {
	s := server{Runner: platformtest.NewRunner(f.store, name, service)}
	relay, err := link.New(s.Address())
	Expect(err).NotTo(HaveOccurred())
	s.relay = relay
	s.Advertise(relay.Address())
	s.SetBehaviour(healthyAnswer)
	f.servers = append(f.servers, s)
}

// configure writes the configuration with the current keys and routes to the store.
func (f *fleet) configure() {
	c := platformtest.Configuration{Services: []string{"app"}, Engines: []string{"llm"}, Accounts: accountKeys(f.revokedRounds)}
	if f.allFaults {
		c.ColdPerS = coldPerS
	}
	for _, r := range routes {
		r.Host = host
		c.Routes = append(c.Routes, r.Route)
	}
	for i := range f.addedRoutes {
		added := c.Routes[1]
		added.Name, added.Prefix = fmt.Sprintf("extra-%d", i), addedRoutePrefix(i)
		c.Routes = append(c.Routes, added)
	}
	f.store.Configure(c)
}

func addedRoutePrefix(i int) string {
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

// arrivals returns the requests that all backend servers received, by request ID.
func (f *fleet) arrivals() map[string][]platformtest.ReceivedRequest {
	all := make(map[string][]platformtest.ReceivedRequest)
	for _, s := range f.servers {
		for _, a := range s.Requests() {
			all[a.ID] = append(all[a.ID], a)
		}
	}
	return all
}

func (f *fleet) heldReservations() int {
	held := 0
	for _, s := range f.servers {
		held += s.HeldReservations()
	}
	return held
}

// close ends everything that this fleet started.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.signal(syscall.SIGKILL)
		Eventually(e.done(), startLimit).Should(BeClosed())
		e.store.Close()
	}
	for _, s := range f.servers {
		s.relay.Close()
		s.Close()
	}
	f.store.Close()
	_ = f.log.Close() // its content is no longer needed
}

// healthyAnswer is the behaviour of a healthy backend server.
func healthyAnswer(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
	a := platformtest.DecodeRequest(q)
	if a.HasPromptTokens {
		return platformtest.Stream(20, 0, 20*time.Millisecond)(r, w, q)
	}
	time.Sleep(10 * time.Millisecond)
	r.Sign(w, q)
	_, _ = fmt.Fprint(w, completeAnswer(a.ID)) // the caller may have disconnected
	return true
}

func completeAnswer(id string) string {
	return "done " + id
}
