package command

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"

	"golang.org/x/sync/errgroup"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clientlimit"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/platform"
)

// memoryPart is the part of an instance's memory at which the garbage collector
// works harder. The rest covers memory outside the heap.
const memoryPart = 0.5

// bufferPart is the part of an instance's memory for the buffers of answers; that for
// requests is set by [clientlimit.ForInstance]. Buffers that grow leave garbage of the same size behind.
const bufferPart = 0.2

// bufferMemory returns the bytes for the buffers of requests and answers; 0 if the
// memory of the instance is unknown.
func bufferMemory(s platform.Settings) int64 {
	return int64(float64(s.MemoryBytes) * bufferPart)
}

// forwardCommand runs an entry on the platform.
type forwardCommand struct {
	LogLevel string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"Lowest level of log lines"`
}

func (c *forwardCommand) run(env environment, _ []string) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return withCode(ExitInvalid, err)
	}
	lines := observe.NewAsyncWriter(env.stdout)
	defer lines.Close()
	logger, err := observe.NewLogger(lines, "json", c.LogLevel)
	if err != nil {
		return err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryPart))
	}
	logger.Info("start", "instance", s.Instance, "data_centre", s.DataCentre, "listen", s.Listen.String(), "version", Version, "process", os.Getpid())
	defer logger.Info("stop", "instance", s.Instance)
	return runForward(env, s, logger)
}

// reload reads the settings again. All that can change while an instance runs comes
// from the store.
func (c *forwardCommand) reload(logger *slog.Logger) {
	s, err := platform.ReadSettings()
	if err != nil {
		logger.Error("reload", "error", err.Error())
		return
	}
	logger.Info("reload", "instance", s.Instance, "listen", s.Listen.String())
}

// runForward runs an entry until the environment's context ends.
func runForward(env environment, s platform.Settings, logger *slog.Logger) error {
	clock := clock.NewBoot()
	metrics := observe.NewMetrics()
	view := directory.NewView()
	options := []forward.Option{
		forward.WithLogger(logger),
		forward.WithMetrics(metrics),
		forward.WithDataCentre(s.DataCentre),
		forward.WithRetryBudget(s.RetryBudget.Ratio, s.RetryBudget.Reserve),
		forward.WithColdLimit(s.ColdLimit.Factor, s.ColdLimit.Slack),
		forward.WithMaxKeyAge(s.KeyFreshness),
	}
	if s.MemoryBytes > 0 {
		options = append(options, forward.WithBufferMemory(bufferMemory(s)))
	}
	options = append(options, forward.WithClientLimits(clientlimit.ForInstance(s.MemoryBytes, s.Descriptors)))
	if s.MemoryIdleTimeout > 0 {
		options = append(options, forward.WithMemoryIdleTimeout(s.MemoryIdleTimeout))
	}
	guard := observe.NewGuard(logger, metrics)
	budget, err := directory.NewBudget(s.MaxConfigurationDelay, s.MaxDrainDelay)
	if err != nil {
		logger.Warn("delays too short", "error", err.Error())
	}
	store := platform.NewStoreClient(s.StoreAddress, platform.WithCallTimeout(budget.CallTimeout))
	options = append(options, forward.WithQuarantineStore(platform.NewQuarantineLog(store)))
	gateway := forward.New(view, platform.Headers{}, clock, options...)
	followerOptions := []directory.FollowerOption{
		directory.WithBudget(budget),
		directory.WithConfirmationTTL(gateway.EffectiveMaxKeyAge()),
		directory.WithCoordinator(gateway.Coordinator()),
		directory.WithGuard(guard),
		directory.WithMetrics(metrics),
		directory.WithOnRestore(gateway.StoreRestored),
	}
	if s.Heartbeat > 0 {
		followerOptions = append(followerOptions, directory.WithHeartbeat(s.Heartbeat))
	}
	follower := directory.NewFollower(view, platform.NewConfigurationFeed(store), platform.NewServerFeed(store, clock), clock, logger,
		followerOptions...)

	metrics.ObserveAge("configuration_age_seconds", "Time since the instant up to which the configuration is confirmed.",
		func() oleanderspool.Millis { return view.ConfirmationAge(clock.Now()) })
	metrics.ObserveCount("store_era", "How often the store has been restored from an older copy, by its latest reply.", func() int { return int(store.Era()) })
	metrics.ObserveAge("servers_age_seconds", "Time since the last read of the registry of backend servers that was answered.",
		func() oleanderspool.Millis { return view.ServersAge(clock.Now()) })

	metrics.ObserveCount("evacuated_data_centres", "Number of evacuated data centres.",
		func() int { return len(view.Snapshot().Evacuated()) })

	listeners, err := listenForward(s)
	if err != nil {
		return err
	}
	node, err := listenGossip(s, gateway.State(), clock, logger, guard)
	if err != nil {
		return err
	}
	gateway.SetPeers(node, follower.Receive, follower.ReceiveConfirmation)

	// Everything but the callers' server goes on until that has stopped.
	after, stop := context.WithCancel(context.WithoutCancel(env.ctx))
	group, after := errgroup.WithContext(after)
	run := func(f func(context.Context)) {
		group.Go(func() error {
			f(after)
			return nil
		})
	}
	run(follower.RunConfigurations)
	run(follower.RunServers)
	run(follower.RunAgeChecks)
	run(gateway.Run)
	run(node.Run)
	group.Go(func() error { return env.runReloads(after, logger) })
	group.Go(func() error {
		return serveLimited(after, listeners.ready, readyHandler(gateway), clock, logger, metrics)
	})
	if listeners.admin != nil {
		group.Go(func() error { return serveLimited(after, listeners.admin, metrics.Handler(), clock, logger, metrics) })
	}
	group.Go(func() error {
		defer stop()
		defer node.Leave()
		return forward.NewServer(gateway).Serve(env.ctx, listeners.callers, s.StopGracePeriod)
	})
	return group.Wait()
}

// forwardListeners are the open addresses of an entry on the platform.
type forwardListeners struct {
	callers, ready net.Listener
	admin          net.Listener // nil when the settings name none
}

func listenForward(s platform.Settings) (forwardListeners, error) {
	var l forwardListeners
	var err error
	if l.callers, err = listen(s.Listen); err != nil {
		return l, err
	}
	if l.ready, err = listen(s.ReadyListen); err != nil {
		return l, err
	}
	if s.AdminListen.IsValid() {
		l.admin, err = listen(s.AdminListen)
	}
	return l, err
}

// readyHandler answers questions whether the entry takes connections.
func readyHandler(g *forward.Gateway) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func listenGossip(s platform.Settings, state gossip.State, clock *clock.Boot, logger *slog.Logger, guard *observe.Guard) (*gossip.Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.PeerListen))
	if err != nil {
		return nil, err
	}
	self := gossip.Endpoint{Instance: s.Instance, Address: s.PeerListen.String(), DataCentre: s.DataCentre, Capacity: s.ProcessorShare}
	return gossip.NewNode(conn, self, s.Seeds, state, clock, logger, gossip.WithGuard(guard)), nil
}
