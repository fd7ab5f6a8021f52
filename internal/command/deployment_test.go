package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin/engine"
)

const (
	startBound = 20 * time.Second
	stopWait   = 30 * time.Second
)

// deployment is a set of separate processes on loopback.
type deployment struct {
	directory string
	platform  string
	entries   []string // base addresses for callers
	admins    map[string]string
	sessions  map[string]*gexec.Session
	settings  map[string]string // settings file by process
	engines   map[string]string // address by instance
	service   string
	list      []oleanderspool.InstanceState
	memory    int64 // of an engine, in tokens
}

// drawn holds the addresses that freeAddress has returned.
var drawn = make(map[string]bool)

// freeAddress returns an address that nothing listens on and that it has not
// returned before: the kernel may give the same port twice in a row. The host is
// one of this test process alone, because on 127.0.0.1 an outgoing connection
// can take the port of a process that is being restarted.
func freeAddress() string {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16, pid>>8&0xff, pid&0xff)
	for {
		l, err := net.Listen("tcp", host)
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		if !drawn[address] {
			drawn[address] = true
			return address
		}
	}
}

// newDeployment starts a platform, runners, one application runner and two
// entries as separate processes and waits until they serve. More processes may
// be started before the instances are listed.
func newDeployment(runners int, more ...func(d *deployment)) *deployment {
	d := &deployment{
		directory: GinkgoT().TempDir(),
		admins:    make(map[string]string),
		sessions:  make(map[string]*gexec.Session),
		settings:  make(map[string]string),
		engines:   make(map[string]string),
		platform:  freeAddress(),
		memory:    100_000,
	}
	DeferCleanup(d.kill)
	d.start("platform", fmt.Sprintf("listen = %q\nretention_ms = 86400000\nappends_per_sec = 500\nlist_lag_ms = 100\nloads_per_sec = 10.0\n", d.platform), "standin", "platform")
	d.waitFor(d.platform)
	for i := range runners {
		d.startRunner(fmt.Sprintf("runner-%d", i+1))
	}
	d.startService("services-1")
	for i := range 2 {
		d.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	for _, start := range more {
		start(d)
	}
	d.publishInstances()
	Expect(publishFleet(context.Background(), netip.MustParseAddrPort(d.platform), d.list)).To(Succeed())
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	Expect((&fleet{entries: d.entries}).await(ctx)).To(Succeed())
	return d
}

// start starts a process with the given settings.
func (d *deployment) start(name, text string, args ...string) {
	text += "\n[log]\nlevel = \"info\"\nformat = \"text\"\n"
	file := filepath.Join(d.directory, name+".toml")
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	d.settings[name] = file
	d.restart(name, args...)
}

// restart starts a process with the settings that it had before.
func (d *deployment) restart(name string, args ...string) {
	c := exec.Command(binary, append(args, "--settings", d.settings[name])...)
	session, err := gexec.Start(c, GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	d.sessions[name] = session
}

func (d *deployment) startRunner(instance string) {
	address, peers := freeAddress(), freeAddress()
	d.engines[instance] = address
	d.start("engine-"+instance, fmt.Sprintf("listen = %q\nmemory_tokens = %d\nprefill_per_milli = 20.0\nstep_ms = 20\nbatch_requests = 32\nload_ms = 100\nreport_lag_ms = 100\nfencing = \"reject\"\n", address, d.memory), "standin", "engine", "--model", fleetModel)
	d.waitFor(address)
	d.startAgent(instance, peers, "model", fmt.Sprintf("engine = %q\n", address))
}

func (d *deployment) startService(instance string) {
	d.service = freeAddress()
	d.start("service", fmt.Sprintf("listen = %q\nlatency_ms = 0\n", d.service), "standin", "service")
	d.waitFor(d.service)
	d.startServiceAgent(instance)
}

// startServiceAgent starts an application runner beside the plain service.
func (d *deployment) startServiceAgent(instance string) {
	d.startAgent(instance, freeAddress(), "service", fmt.Sprintf("service = %q\nroutes = [\"pegs\", \"orders\", \"stock\", \"drafts\"]\n", d.service))
}

func (d *deployment) startAgent(instance, peers, role, rest string) {
	d.admins[instance] = freeAddress()
	d.start(instance, fmt.Sprintf("instance = %q\ndata_centre = \"dc-a\"\nrole = %q\npeer_listen = %q\nadmin_listen = %q\nplatform = %q\nentries = []\nheartbeat_ms = 1000\nreattach_ms = 10000\n%s\n[queue]\nrequests = 1000\nwork_tokens = 4000000\nlong_share = 0.5\n",
		instance, role, peers, d.admins[instance], d.platform, rest), "agent")
	d.waitFor(peers)
	d.list = append(d.list, oleanderspool.InstanceState{
		Instance: oleanderspool.InstanceID(instance), DataCentre: "dc-a", Address: peers, Role: role,
	})
}

func (d *deployment) startEntry(instance string) {
	callers, peers := freeAddress(), freeAddress()
	d.admins[instance] = freeAddress()
	d.start(instance, fmt.Sprintf("instance = %q\ndata_centre = \"dc-a\"\nlisten = %q\npeer_listen = %q\nadmin_listen = %q\nplatform = %q\npeers = []\nkey_lifetime_ms = 21600000\nlog_retention_ms = 86400000\n",
		instance, callers, peers, d.admins[instance], d.platform), "entry")
	d.waitFor(callers)
	d.entries = append(d.entries, "http://"+callers)
	d.list = append(d.list, oleanderspool.InstanceState{
		Instance: oleanderspool.InstanceID(instance), DataCentre: "dc-a", Address: peers, Role: "entry",
	})
}

// publishInstances gives the instance list to the platform.
func (d *deployment) publishInstances() {
	type item struct {
		Instance   string `json:"instance"`
		DataCentre string `json:"data_centre"`
		Address    string `json:"address"`
		Role       string `json:"role"`
		Leaving    bool   `json:"leaving"`
	}
	var body struct {
		Instances []item `json:"instances"`
	}
	for _, i := range d.list {
		body.Instances = append(body.Instances, item{string(i.Instance), string(i.DataCentre), i.Address, i.Role, i.Leaving})
	}
	d.control(http.MethodPut, d.platform, "/control/instances", body)
}

// control calls a stand-in.
func (d *deployment) control(method, address, path string, body any) []byte {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var answer bytes.Buffer
	_, _ = answer.ReadFrom(response.Body)
	Expect(response.StatusCode).To(BeNumerically("<", 300), answer.String())
	return answer.Bytes()
}

func (d *deployment) waitFor(address string) {
	Eventually(func() error {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
		}
		return err
	}, startBound, 20*time.Millisecond).Should(Succeed())
}

// signal sends a signal to one process.
func (d *deployment) signal(name string, s syscall.Signal) {
	Expect(d.sessions[name].Command.Process.Signal(s)).To(Succeed())
}

// stop stops a process gracefully and checks its exit code.
func (d *deployment) stop(name string) {
	d.signal(name, syscall.SIGTERM)
	Eventually(d.sessions[name], stopWait).Should(gexec.Exit(0))
}

// kill ends all processes.
func (d *deployment) kill() {
	for _, s := range d.sessions {
		_ = s.Command.Process.Signal(syscall.SIGCONT)
		s.Kill()
	}
	for _, s := range d.sessions {
		Eventually(s, stopWait).Should(gexec.Exit())
	}
}

// runs returns how often each reference ran on the plain service.
func (d *deployment) runs() map[string]int {
	var answer struct {
		Runs []struct {
			Reference string `json:"reference"`
			Count     int    `json:"count"`
		} `json:"runs"`
	}
	Expect(json.Unmarshal(d.control(http.MethodGet, d.service, "/control/runs", nil), &answer)).To(Succeed())
	counts := make(map[string]int)
	for _, r := range answer.Runs {
		counts[r.Reference] += r.Count
	}
	return counts
}

// freeTokens returns the free memory that an engine reports, or -1 while it is
// down.
func (d *deployment) freeTokens(address string) int64 {
	var report struct {
		Free int64 `json:"free_tokens"`
	}
	code, body := get("http://" + address + "/v1/report")
	if code != http.StatusOK {
		return -1
	}
	Expect(json.Unmarshal([]byte(body), &report)).To(Succeed())
	return report.Free
}

// expectFree expects that every engine gets all its memory back.
func (d *deployment) expectFree() {
	GinkgoHelper()
	for instance, address := range d.engines {
		Eventually(func() int64 { return d.freeTokens(address) }, startBound, 50*time.Millisecond).
			Should(Equal(d.memory), "memory of engine %s", instance)
	}
}

// engineRequest is a request that an engine took.
type engineRequest struct {
	PromptTokens int64  `json:"prompt_tokens"`
	Outcome      string `json:"outcome"`
}

// requests returns the requests that an engine took.
func (d *deployment) requests(address string) []engineRequest {
	var answer struct {
		Requests []engineRequest `json:"requests"`
	}
	Expect(json.Unmarshal(d.control(http.MethodGet, address, "/control/requests", nil), &answer)).To(Succeed())
	return answer.Requests
}

// longRuns returns how many requests of at least the given prompt length an
// engine took that a prompt of that length alone accounts for.
func (d *deployment) longRuns(address string, tokens int64) int {
	runs := 0
	for _, r := range d.requests(address) {
		if r.PromptTokens >= tokens && r.PromptTokens < 2*tokens {
			runs++
		}
	}
	return runs
}

// runnerOf returns the instance that runs a prompt of at least the given
// length, or "".
func (d *deployment) runnerOf(tokens int64) string {
	for instance, address := range d.engines {
		for _, r := range d.requests(address) {
			if r.PromptTokens >= tokens && r.Outcome == engine.OutcomeRunning {
				return instance
			}
		}
	}
	return ""
}

// question returns a chat request to an entry.
func (d *deployment) question(entry int, prompt string, tokens int) callerRequest {
	return callerRequest{
		entry: d.entries[entry], apiKey: fleetKey, model: fleetModel, prompt: prompt, tokens: tokens,
		timeout: 30 * oleanderspool.Second,
	}
}

// reservation returns a reservation under a key, of an item of its own, whose
// stock does not run out.
func (d *deployment) reservation(entry int, reference string) callerRequest {
	return callerRequest{
		entry: d.entries[entry], apiKey: fleetKey, route: "pegs/reserve", method: http.MethodPost,
		body: []byte(fmt.Sprintf(`{"reference":%q,"item":%q,"count":1}`, reference, "straps-"+reference)),
		key:  oleanderspool.IdempotencyKey("key-" + reference), timeout: 10 * oleanderspool.Second,
	}
}

// ask sends a request and returns its answer.
func ask(r callerRequest) (string, callerResult, error) {
	var text strings.Builder
	result, err := r.send(context.Background(), http.DefaultClient, &text)
	return text.String(), result, err
}

// pause stops a process while f runs.
func (d *deployment) pause(name string, f func()) {
	d.signal(name, syscall.SIGSTOP)
	defer d.signal(name, syscall.SIGCONT)
	f()
}
