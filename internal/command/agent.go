package command

import (
	"context"
	"log/slog"
	"net"

	"golang.org/x/sync/errgroup"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/agent"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/engine"
	"github.com/oleanderspool/oleanderspool/internal/handover"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/platform"
	"github.com/oleanderspool/oleanderspool/internal/queue"
	"github.com/oleanderspool/oleanderspool/internal/service"
	"github.com/oleanderspool/oleanderspool/internal/settings"
)

// agentCommand runs an agent.
type agentCommand struct {
	settingsFlag
}

func (c *agentCommand) run(env environment, _ []string) error {
	s, err := readSettings(c.Settings, settings.ParseAgent)
	if err != nil {
		return err
	}
	var l agentListeners
	if l.peers, err = listen(s.PeerListen); err != nil {
		return err
	}
	if l.admin, err = listen(s.AdminListen); err != nil {
		return err
	}
	return runAgent(env, s, l)
}

func (c *agentCommand) reload(logger *slog.Logger) {
	reloadSettings(c.Settings, settings.ParseAgent, logger)
}

// agentListeners are the open addresses of an agent.
type agentListeners struct {
	peers net.Listener
	admin net.Listener
}

// runAgent runs an agent on open addresses until the environment's context
// ends and the attempts in progress have ended.
func runAgent(env environment, s settings.Agent, l agentListeners) error {
	logger, err := observe.NewLogger(env.stderr, s.Log.Format, s.Log.Level.String())
	if err != nil {
		return err
	}
	metrics := observe.NewMetrics()
	limits := attempt.DefaultLimits
	limits.ReaderTimeout = s.ReaderTimeout
	limits.KeyLifetime = s.KeyLifetime
	transfers := handover.DefaultLimits
	transfers.MaxBytes = s.MaxTransferBytes
	options := []agent.Option{
		agent.WithLogger(logger),
		agent.WithMetrics(metrics),
		agent.WithHeartbeat(s.HeartbeatInterval),
		agent.WithAttemptLimits(limits),
		agent.WithTransferLimits(transfers),
		agent.WithQueueOptions(queueOptions(s.Queue)...),
		agent.WithMaxQueuedPromptTokens(s.Queue.Tokens),
		agent.WithWeightStore(platform.NewClient(s.Platform.String())),
		agent.WithVersion(Version),
		agent.WithEntryAddresses(addressTexts(s.Entries)...),
	}
	if s.Role == oleanderspool.RoleService {
		options = append(options, agent.WithService(service.NewClient(s.Service.String()), s.Routes...))
	} else {
		options = append(options, agent.WithEngine(engine.NewClient(s.Engine.String(), engine.WithMaxExport(s.MaxTransferBytes))))
	}
	a := agent.New(s.Instance, s.DataCentre, options...)

	after, stop := context.WithCancel(context.WithoutCancel(env.ctx))
	group, after := errgroup.WithContext(after)
	group.Go(func() error { return env.runReloads(after, logger) })
	group.Go(func() error {
		defer stop()
		return a.Run(env.ctx, l.peers)
	})
	group.Go(func() error {
		return serveHTTP(after, l.admin, adminHandler(metrics, func() status {
			return status{
				Role:        "agent",
				Instance:    string(s.Instance),
				DataCentre:  string(s.DataCentre),
				Incarnation: string(a.Incarnation()),
				Revision:    int64(a.Revision()),
				Ready:       a.Ready(),
				Version:     Version,
			}
		}), logger)
	})
	return group.Wait()
}

// queueOptions maps the settings of the queue. The engine's memory is not a
// setting: the agent learns it from the engine.
func queueOptions(s settings.Queue) []queue.Option {
	options := []queue.Option{
		queue.WithCapacity(s.Requests),
		queue.WithShortRequestWeight(s.ShortRequestWeight),
	}
	if s.LongPromptShare > 0 {
		options = append(options, queue.WithLongShare(s.LongPromptShare))
	}
	return options
}
