package command

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/entry"
	"github.com/oleanderspool/oleanderspool/internal/handover"
	"github.com/oleanderspool/oleanderspool/internal/platform"
	"github.com/oleanderspool/oleanderspool/internal/queue"
	"github.com/oleanderspool/oleanderspool/internal/settings"
	"github.com/oleanderspool/oleanderspool/internal/standin/engine"
	standplatform "github.com/oleanderspool/oleanderspool/internal/standin/platform"
	"github.com/oleanderspool/oleanderspool/internal/standin/service"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// API keys of the accounts that a fleet in one process is configured with.
const (
	fleetKey        = "demo-key"
	fleetLimitedKey = "demo-limited-key"
)

// Names in the configuration of a fleet in one process.
const (
	fleetModel = "ledger-model"
	fleetSet   = "runners"
)

const (
	fleetLoadRate = 50                            // loads per second of the weight store
	fleetLoadTime = 100 * oleanderspool.Millis(1) // of an order
)

// fleetSize tells how large a fleet in one process is.
type fleetSize struct {
	entries  int
	runners  int
	services int
}

// fleet is an entry, agents and stand-ins in one process on loopback.
type fleet struct {
	platform        *standplatform.Platform
	platformAddress netip.AddrPort
	list            []oleanderspool.InstanceState
	engines         []*engine.Engine
	services        []*service.Service
	entries         []string // base addresses for callers
	engineAddresses []string // base addresses of the engines
	engineOptions   []engine.Option
	servers         []*http.Server // of the stand-ins
	group           *errgroup.Group
	stop            context.CancelFunc
}

// newFleet starts a fleet and returns once it serves.
func newFleet(env environment, size fleetSize, engines ...engine.Option) (*fleet, error) {
	f := &fleet{platform: standplatform.New(standplatform.WithInstanceLag(0), standplatform.WithWeightRate(fleetLoadRate)), engineOptions: engines}
	ctx, stop := context.WithCancel(env.ctx)
	f.stop = stop
	f.group, ctx = errgroup.WithContext(ctx)
	env.ctx = ctx
	address, err := f.serve(f.platform)
	if err != nil {
		return f, err
	}
	f.platformAddress = address
	list, err := f.startAll(env, size)
	if err != nil {
		return f, err
	}
	f.list = list
	f.platform.SetInstances(list)
	if err := publishFleet(ctx, address, list); err != nil {
		return f, err
	}
	return f, f.await(ctx)
}

// startAll starts the processes of a fleet and returns them as the platform
// lists them.
func (f *fleet) startAll(env environment, size fleetSize) ([]oleanderspool.InstanceState, error) {
	kinds := []struct {
		count int
		start func(environment, netip.AddrPort, int) (oleanderspool.InstanceState, error)
	}{
		{size.runners, f.startRunner},
		{size.services, f.startService},
		{size.entries, f.startEntry},
	}
	var list []oleanderspool.InstanceState
	for _, k := range kinds {
		for i := range k.count {
			state, err := k.start(env, f.platformAddress, i)
			if err != nil {
				return nil, err
			}
			list = append(list, state)
		}
	}
	return list, nil
}

// serve serves a stand-in and returns its address.
func (f *fleet) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := listenLoopback()
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: stopBound}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }() // ends with Close
	return addressOf(l), nil
}

func addressOf(l net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(l.Addr().String())
}

func listenLoopback() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// quietLog keeps the lines of the fleet's processes out of a demonstration.
var quietLog = settings.Log{Level: slog.LevelError, Format: "text"}

func (f *fleet) startRunner(env environment, platform netip.AddrPort, i int) (oleanderspool.InstanceState, error) {
	// Engines start without models; the agents load what configuration wants.
	options := append([]engine.Option{engine.WithLoadTime(fleetLoadTime), engine.WithDowntime(oleanderspool.Second)}, f.engineOptions...)
	e := engine.New(options...)
	f.engines = append(f.engines, e)
	s := fleetAgent(platform, fmt.Sprintf("runner-%d", i+1), i)
	s.Role = oleanderspool.RoleModel
	var err error
	if s.Engine, err = f.serve(e); err != nil {
		return oleanderspool.InstanceState{}, err
	}
	f.engineAddresses = append(f.engineAddresses, "http://"+s.Engine.String())
	return f.startAgent(env, s, "model")
}

func (f *fleet) startService(env environment, platform netip.AddrPort, i int) (oleanderspool.InstanceState, error) {
	server := service.New(service.WithStock("straps", 500))
	f.services = append(f.services, server)
	s := fleetAgent(platform, fmt.Sprintf("services-%d", i+1), i)
	s.Role = oleanderspool.RoleService
	var err error
	if s.Service, err = f.serve(server); err != nil {
		return oleanderspool.InstanceState{}, err
	}
	s.Routes = []oleanderspool.RouteID{"pegs", "orders", "stock", "drafts"}
	return f.startAgent(env, s, "service")
}

func fleetAgent(platform netip.AddrPort, instance string, i int) settings.Agent {
	return settings.Agent{
		Identity:          fleetIdentity(instance, i),
		Platform:          platform,
		Log:               quietLog,
		Queue:             settings.Queue{Requests: 10_000, ShortRequestWeight: queue.DefaultShortRequestWeight},
		HeartbeatInterval: oleanderspool.Second,
		ReaderTimeout:     10 * oleanderspool.Second,

		KeyLifetime:      attempt.DefaultLimits.KeyLifetime,
		MaxTransferBytes: handover.DefaultLimits.MaxBytes,
	}
}

// runnersPerDataCentre keeps enough runners together for the longest prompts.
const runnersPerDataCentre = 3

func fleetIdentity(instance string, i int) settings.Identity {
	return settings.Identity{
		Instance:   oleanderspool.InstanceID(instance),
		DataCentre: oleanderspool.DataCentreID(fmt.Sprintf("dc-%c", 'a'+i/runnersPerDataCentre%3)),
	}
}

func (f *fleet) startAgent(env environment, s settings.Agent, role string) (oleanderspool.InstanceState, error) {
	var l agentListeners
	var err error
	if l.peers, err = listenLoopback(); err != nil {
		return oleanderspool.InstanceState{}, err
	}
	if l.admin, err = listenLoopback(); err != nil {
		return oleanderspool.InstanceState{}, err
	}
	f.group.Go(func() error { return runAgent(env, s, l) })
	return oleanderspool.InstanceState{
		Instance:   s.Instance,
		DataCentre: s.DataCentre,
		Address:    l.peers.Addr().String(),
		Role:       role,
	}, nil
}

func (f *fleet) startEntry(env environment, platform netip.AddrPort, i int) (oleanderspool.InstanceState, error) {
	s := settings.Entry{
		Identity:     fleetIdentity(fmt.Sprintf("entry-%d", i+1), i),
		Platform:     platform,
		Log:          quietLog,
		Limits:       settings.Limits{BodyBytes: 16 << 20, HeaderBytes: 64 << 10, ReadTimeout: 30 * oleanderspool.Second, WatchLimit: entry.DefaultWatchLimit},
		KeyLifetime:  oleanderspool.Hour / 2,
		LogRetention: oleanderspool.Hour,
		RetryBudget:  settings.RetryBudget{Fraction: 0.1, Reserve: 10},
	}
	var l entryListeners
	var err error
	for _, target := range []*net.Listener{&l.callers, &l.peers, &l.admin} {
		if *target, err = listenLoopback(); err != nil {
			return oleanderspool.InstanceState{}, err
		}
	}
	f.entries = append(f.entries, "http://"+l.callers.Addr().String())
	f.group.Go(func() error { return runEntry(env, s, l) })
	return oleanderspool.InstanceState{
		Instance:   s.Instance,
		DataCentre: s.DataCentre,
		Address:    l.peers.Addr().String(),
		Role:       "entry",
	}, nil
}

// publishFleet publishes a configuration for the listed backend servers.
func publishFleet(ctx context.Context, address netip.AddrPort, list []oleanderspool.InstanceState) error {
	c, err := fleetConfiguration(list)
	if err != nil {
		return err
	}
	data, err := configuration.Diff(configuration.Configuration{}, c).WithID("first").Print()
	if err != nil {
		return err
	}
	_, err = platform.NewClient(address.String()).Append(ctx, oleanderspool.StreamConfiguration, [][]byte{data})
	return err
}

func fleetConfiguration(list []oleanderspool.InstanceState) (configuration.Configuration, error) {
	var runners, services []oleanderspool.InstanceID
	for _, i := range list {
		switch i.Role {
		case "model":
			runners = append(runners, i.Instance)
		case "service":
			services = append(services, i.Instance)
		}
	}
	return configuration.New(
		configuration.WithPriorities(
			configuration.Priority{ID: "interactive", Level: 1},
			configuration.Priority{ID: "batch", Level: 0},
		),
		configuration.WithServerSets(
			configuration.ServerSet{ID: fleetSet}.WithInstances(runners...),
			configuration.ServerSet{ID: "services"}.WithInstances(services...),
		),
		configuration.WithVersions(configuration.Version{ID: "ledger-model-v1", Model: fleetModel, Artefact: "ledger-model/v1"}),
		configuration.WithModels(configuration.Model{ID: fleetModel, Version: "ledger-model-v1", Set: fleetSet, MaxPromptTokens: 1_000_000}),
		configuration.WithClientAccounts(
			configuration.ClientAccount{ID: "crew-leads", Priority: "interactive", ShareOfCapacity: 1, KeyHash: configuration.HashKey(fleetKey)},
			configuration.ClientAccount{ID: "limited", Priority: "batch", ShareOfCapacity: 0.5, RequestsPerSec: 0.2, BurstRequests: 1, KeyHash: configuration.HashKey(fleetLimitedKey)},
		),
		configuration.WithServiceRoutes(
			configuration.ServiceRoute{ID: "pegs", Set: "services"},
			configuration.ServiceRoute{ID: "orders", Set: "services"},
			configuration.ServiceRoute{ID: "stock", Set: "services", Idempotent: true},
			configuration.ServiceRoute{ID: "drafts", Set: "services", Idempotent: true},
		),
	)
}

// fleetStartBound bounds the wait for a started fleet.
const fleetStartBound = 15 * time.Second

// await waits until every entry answers a short question and a lookup.
func (f *fleet) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetStartBound)
	defer cancel()
	for _, address := range f.entries {
		probes := []callerRequest{
			{entry: address, apiKey: fleetKey, model: fleetModel, prompt: "ready?", tokens: 1},
			{entry: address, apiKey: fleetKey, route: "stock/straps", method: http.MethodGet},
		}
		for _, p := range probes {
			if err := awaitAnswer(ctx, p); err != nil {
				return err
			}
		}
	}
	return nil
}

func awaitAnswer(ctx context.Context, request callerRequest) error {
	for {
		result, err := request.send(ctx, http.DefaultClient, discard{})
		if err == nil && result.refusal == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(errNotServing, err, refusalError(result.refusal))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// errNotServing says that a started fleet did not answer in time.
var errNotServing = errors.New("the fleet does not serve")

// refusalError returns a refusal as an error, nil without one.
func refusalError(r *oleanderspool.Refusal) error {
	if r == nil {
		return nil
	}
	return r
}

type discard struct{}

// Write drops p.
func (discard) Write(p []byte) (int, error) {
	return len(p), nil
}

// Close stops the fleet and waits for its processes.
func (f *fleet) Close() error {
	f.stop()
	err := f.group.Wait()
	for _, e := range f.engines {
		e.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	return err
}
