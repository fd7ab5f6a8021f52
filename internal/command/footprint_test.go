package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega/gexec"
	"golang.org/x/sync/errgroup"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/internal/platform"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

const (
	// ticksPerSecond is the unit of processor time in /proc on Linux.
	ticksPerSecond = 100
	// footprintIdle is the span over which the idle processes are measured. At
	// 10 ms per tick, 15 s resolve 0.07% of a core.
	footprintIdle = 15 * time.Second
)

// footprint is a set of processes whose memory and processor time is read from
// /proc.
type footprint struct {
	b         *testing.B
	binary    string
	directory string
	platform  string
	processes map[string]*exec.Cmd
	list      []oleanderspool.InstanceState
}

// startFootprint starts a platform, agents with their engines, and an entry.
// It returns the base address of the entry. The platform lists further
// instances up to the given number, at the addresses of the same agents, and
// the configuration names all of them and as many accounts.
func startFootprint(b *testing.B, agents, listed int) (*footprint, string) {
	binary, err := gexec.Build("github.com/oleanderspool/oleanderspool/cmd/oleanderspool")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(gexec.CleanupBuildArtifacts)
	f := &footprint{b: b, binary: binary, directory: b.TempDir(), processes: make(map[string]*exec.Cmd), platform: unusedAddress(b)}
	b.Cleanup(f.end)
	f.start("platform", fmt.Sprintf("listen = %q\nappends_per_sec = 500\nlist_lag_ms = 100\n", f.platform), "standin", "platform")
	f.await(f.platform)
	for i := range agents {
		instance := fmt.Sprintf("runner-%d", i+1)
		engine, peers := unusedAddress(b), unusedAddress(b)
		f.start("engine-"+instance, fmt.Sprintf("listen = %q\nprefill_per_milli = 1000.0\nstep_ms = 1\n", engine), "standin", "engine", "--model", fleetModel)
		f.await(engine)
		f.start(instance, fmt.Sprintf("instance = %q\ndata_centre = \"dc-a\"\nrole = \"model\"\npeer_listen = %q\nadmin_listen = %q\nplatform = %q\nengine = %q\n", instance, peers, unusedAddress(b), f.platform, engine), "agent")
		f.await(peers)
		f.list = append(f.list, oleanderspool.InstanceState{Instance: oleanderspool.InstanceID(instance), DataCentre: "dc-a", Address: peers, Role: "model"})
	}
	for i := agents; i < listed; i++ {
		f.list = append(f.list, oleanderspool.InstanceState{
			Instance: oleanderspool.InstanceID(fmt.Sprintf("other-%05d", i)), DataCentre: oleanderspool.DataCentreID(fmt.Sprintf("dc-%d", i%8)),
			Address: f.list[i%agents].Address, Role: "model",
		})
	}
	callers, peers := unusedAddress(b), unusedAddress(b)
	f.start("entry", fmt.Sprintf("instance = \"entry\"\ndata_centre = \"dc-a\"\nlisten = %q\npeer_listen = %q\nadmin_listen = %q\nplatform = %q\n", callers, peers, unusedAddress(b), f.platform), "entry")
	f.await(callers)
	f.list = append(f.list, oleanderspool.InstanceState{Instance: "entry", DataCentre: "dc-a", Address: peers, Role: "entry"})
	f.publish()
	f.awaitAnswer("http://" + callers)
	return f, "http://" + callers
}

// awaitAnswer waits until the entry answers a prompt.
func (f *footprint) awaitAnswer(entry string) {
	request := callerRequest{entry: entry, apiKey: fleetKey, model: fleetModel, prompt: "How many pegs?", tokens: 1, timeout: oleanderspool.Second}
	for end := time.Now().Add(startBound); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		result, err := request.send(context.Background(), http.DefaultClient, io.Discard)
		if err == nil && result.refusal == nil && result.status == http.StatusOK {
			return
		}
	}
	f.b.Fatal("the entry does not answer")
}

// unusedAddress returns an address that nothing listens on.
func unusedAddress(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (f *footprint) start(name, text string, args ...string) {
	file := filepath.Join(f.directory, name+".toml")
	text += "[log]\nlevel = \"error\"\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.b.Fatal(err)
	}
	c := exec.Command(f.binary, append(args, "--settings", file)...)
	c.Stderr = os.Stderr // shows an address that another process took meanwhile
	if err := c.Start(); err != nil {
		f.b.Fatal(err)
	}
	f.processes[name] = c
}

// end ends the processes that the benchmark started.
func (f *footprint) end() {
	for _, c := range f.processes {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}

func (f *footprint) await(address string) {
	for end := time.Now().Add(startBound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			_ = c.Close()
			return
		}
	}
	f.b.Fatal("nothing listens on ", address)
}

// setInstances sets the list of the platform.
func (f *footprint) setInstances() {
	var items []string
	for _, i := range f.list {
		items = append(items, fmt.Sprintf(`{"instance":%q,"data_centre":%q,"address":%q,"role":%q}`, i.Instance, i.DataCentre, i.Address, i.Role))
	}
	body := `{"instances":[` + strings.Join(items, ",") + `]}`
	request, err := http.NewRequest(http.MethodPut, "http://"+f.platform+"/control/instances", strings.NewReader(body))
	if err != nil {
		f.b.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.b.Fatal(err)
	}
	_ = response.Body.Close()
}

func (f *footprint) publish() {
	f.setInstances()
	if err := publishFleet(context.Background(), netip.MustParseAddrPort(f.platform), f.list); err != nil {
		f.b.Fatal(err)
	}
	f.publishAccounts(len(f.list))
}

// publishAccounts publishes further client accounts.
func (f *footprint) publishAccounts(n int) {
	change := configuration.ChangeSet{ID: "accounts"}
	for i := range n {
		change.Puts = append(change.Puts, configuration.Put{Object: configuration.ClientAccount{
			ID: oleanderspool.ClientAccountID(fmt.Sprintf("account-%05d", i)), KeyHash: configuration.HashKey(fmt.Sprint("key", i)),
			Priority: "batch", RequestsPerSec: 10, BurstRequests: 20, ShareOfCapacity: 0.5,
		}})
	}
	data, err := change.Print()
	if err != nil {
		f.b.Fatal(err)
	}
	if _, err := platform.NewClient(f.platform).Append(context.Background(), oleanderspool.StreamConfiguration, [][]byte{data}); err != nil {
		f.b.Fatal(err)
	}
}

// processor returns the processor time of a process.
func (f *footprint) processor(name string) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.processes[name].Process.Pid))
	if err != nil {
		f.b.Fatal(err)
	}
	// The name of the program, in brackets, may hold spaces. User and system
	// time are the 12th and 13th field after it.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// resident returns the resident memory of a process in bytes.
func (f *footprint) resident(name string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", f.processes[name].Process.Pid))
	if err != nil {
		f.b.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(data))[1])
	return pages * syscall.Getpagesize()
}

func (f *footprint) agents(value func(name string) float64) float64 {
	total, n := 0.0, 0
	for name := range f.processes {
		if strings.HasPrefix(name, "runner-") {
			total += value(name)
			n++
		}
	}
	return total / float64(n)
}

// measure reports the processor time and memory of the idle processes.
func (f *footprint) measure() {
	time.Sleep(2 * time.Second) // the processes settle
	before := map[string]time.Duration{}
	for name := range f.processes {
		before[name] = f.processor(name)
	}
	time.Sleep(footprintIdle)
	used := func(name string) float64 {
		return 100 * (f.processor(name) - before[name]).Seconds() / footprintIdle.Seconds()
	}
	f.b.ReportMetric(used("entry"), "entry-%core")
	f.b.ReportMetric(f.agents(used), "agent-%core")
	f.b.ReportMetric(float64(f.resident("entry"))/1e6, "entry-MB")
	f.b.ReportMetric(f.agents(func(name string) float64 { return float64(f.resident(name)) / 1e6 }), "agent-MB")
}

// BenchmarkFootprint measures separate processes on loopback without work: an
// entry and 20 agents, by the number of instances that the platform lists and
// of accounts in the configuration. Run it with -benchtime 1x.
func BenchmarkFootprint(b *testing.B) {
	const agents = 20
	for _, listed := range []int{agents, 200, 2000, 12_000} {
		b.Run(fmt.Sprintf("listed=%d", listed), func(b *testing.B) {
			f, _ := startFootprint(b, agents, listed)
			for b.Loop() {
				f.measure()
			}
		})
	}
}

// otherEntries stands for all other entries of a fleet.
type otherEntries struct {
	peerpb.DRPCPeerUnimplementedServer
}

// Instances takes what the measured entry tells.
func (*otherEntries) Instances(context.Context, *peerpb.InstanceUpdate) (*peerpb.InstanceReply, error) {
	return peer.EncodeListReply(membership.ListReply{Epoch: 1}, 1), nil
}

// takeTurns lists further entries and tells the measured entry of a poll at
// each turn, until the benchmark ends.
func (f *footprint) takeTurns(entries int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	f.b.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	group.Go(func() error { return peer.Serve(ctx, l, &otherEntries{}, nil) })
	address := f.list[len(f.list)-1].Address
	for i := range entries {
		f.list = append(f.list, oleanderspool.InstanceState{
			Instance: oleanderspool.InstanceID(fmt.Sprintf("entry-%03d", i)), DataCentre: oleanderspool.DataCentreID(fmt.Sprintf("dc-%d", i%8)),
			Address: l.Addr().String(), Role: "entry",
		})
	}
	f.setInstances()
	time.Sleep(membership.MaxListLag.Duration()) // the measured entry has the list
	c, client, list := clock.NewSystem(), peer.NewClient(), membership.NewList("entry-000", 1)
	group.Go(func() error {
		for ; ctx.Err() == nil; clock.Sleep(ctx, list.TurnInterval()) {
			list.ApplyPoll(c.Now(), f.list)
			tellEntry(ctx, client, address, list, c)
		}
		return nil
	})
}

func tellEntry(ctx context.Context, client *peer.Client, address string, list *membership.List, c oleanderspool.Clock) {
	process, hangUp, err := client.DialProcess(ctx, address)
	if err != nil {
		return
	}
	defer hangUp()
	update := list.Update("entry")
	again := true
	for calls := 0; again && calls < 2; calls++ {
		sentAt := c.Now()
		reply, err := process.Instances(ctx, peer.EncodeListUpdate(update, 1))
		if err != nil {
			return
		}
		update, again = list.ApplyReply("entry", peer.DecodeListReply(reply), sentAt, c.Now())
	}
}

// BenchmarkFootprintInTurns measures the processes of BenchmarkFootprint when
// the entry is one of as many as a fleet of that size has, which take turns in
// polling the list. Run it with -benchtime 1x.
func BenchmarkFootprintInTurns(b *testing.B) {
	const agents = 20
	for _, listed := range []int{200, 2000, 12_000} {
		b.Run(fmt.Sprintf("listed=%d", listed), func(b *testing.B) {
			f, _ := startFootprint(b, agents, listed)
			f.takeTurns(listed*830/12_000 - 1)
			for b.Loop() {
				f.measure()
			}
		})
	}
}

// BenchmarkDataPath measures the processor time of the entry's and the agents'
// processes per request, by the length of the answer and of the prompt and the
// number of requests at a time. Run it with -benchtime 1x.
func BenchmarkDataPath(b *testing.B) {
	f, entry := startFootprint(b, 2, 2)
	for _, c := range []struct{ streams, requests, tokens, promptBytes int }{
		{1, 300, 1, 4000}, {1, 60, 100, 4000}, {4, 80, 100, 4000}, {16, 160, 100, 4000}, {1, 20, 500, 4000}, {1, 40, 1, 400_000}, {1, 8, 1, 2_000_000},
	} {
		b.Run(fmt.Sprintf("streams=%d/tokens=%d/prompt=%d", c.streams, c.tokens, c.promptBytes), func(b *testing.B) {
			filler := strings.Repeat("a line of a manifest with pegs. ", c.promptBytes/32)
			for b.Loop() {
				before := f.processor("entry")
				beforeAgents := f.agents(func(name string) float64 { return f.processor(name).Seconds() })
				var group errgroup.Group
				group.SetLimit(c.streams)
				for i := range c.requests {
					group.Go(func() error {
						request := callerRequest{
							entry: entry, apiKey: fleetKey, model: fleetModel, tokens: c.tokens, timeout: 60 * oleanderspool.Second,
							prompt: fmt.Sprintf("%d %d %s", time.Now().UnixNano(), i, filler),
						}
						result, err := request.send(context.Background(), http.DefaultClient, io.Discard)
						return errors.Join(err, refusalError(result.refusal))
					})
				}
				if err := group.Wait(); err != nil {
					b.Fatal(err)
				}
				perRequest := 1e6 / float64(c.requests)
				b.ReportMetric((f.processor("entry")-before).Seconds()*perRequest, "entry-µs/request")
				agents := f.agents(func(name string) float64 { return f.processor(name).Seconds() }) - beforeAgents
				b.ReportMetric(agents*2*perRequest, "agent-µs/request")
				b.ReportMetric(float64(f.resident("entry"))/1e6, "entry-MB")
			}
		})
	}
}
