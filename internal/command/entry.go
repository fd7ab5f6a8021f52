package command

import (
	"context"
	"log/slog"
	"net"
	"net/netip"

	"golang.org/x/sync/errgroup"

	"github.com/oleanderspool/oleanderspool/internal/caller"
	"github.com/oleanderspool/oleanderspool/internal/entry"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/platform"
	"github.com/oleanderspool/oleanderspool/internal/retry"
	"github.com/oleanderspool/oleanderspool/internal/settings"
)

// entryCommand runs an entry.
type entryCommand struct {
	settingsFlag
}

func (c *entryCommand) run(env environment, _ []string) error {
	s, err := readSettings(c.Settings, settings.ParseEntry)
	if err != nil {
		return err
	}
	listeners, err := listenEntry(s)
	if err != nil {
		return err
	}
	return runEntry(env, s, listeners)
}

func (c *entryCommand) reload(logger *slog.Logger) {
	reloadSettings(c.Settings, settings.ParseEntry, logger)
}

// entryListeners are the open addresses of an entry.
type entryListeners struct {
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
}

func listenEntry(s settings.Entry) (entryListeners, error) {
	var l entryListeners
	var err error
	if l.callers, err = listen(s.Listen); err != nil {
		return l, err
	}
	if l.peers, err = listen(s.PeerListen); err != nil {
		return l, err
	}
	l.admin, err = listen(s.AdminListen)
	return l, err
}

// runEntry runs an entry on open addresses until the environment's context
// ends and the requests in progress have ended.
func runEntry(env environment, s settings.Entry, l entryListeners) error {
	logger, err := observe.NewLogger(env.stderr, s.Log.Format, s.Log.Level.String())
	if err != nil {
		return err
	}
	metrics := observe.NewMetrics()
	client := platform.NewClient(s.Platform.String())
	e := entry.New(s.Instance, s.DataCentre, client, client,
		entry.WithLogger(logger),
		entry.WithMetrics(metrics),
		entry.WithKeyLifetime(s.KeyLifetime),
		entry.WithRetryBudget(retry.NewBudget(s.RetryBudget.Fraction, s.RetryBudget.Reserve)),
		entry.WithVersion(Version),
		entry.WithRetention(s.LogRetention),
		entry.WithWatchLimit(s.Limits.WatchLimit),
		entry.WithPeers(addressTexts(s.Peers)...),
	)
	limits := caller.DefaultLimits
	limits.BodyBytes = s.Limits.BodyBytes
	limits.HeaderBytes = int(s.Limits.HeaderBytes)
	limits.BodyTimeout = s.Limits.ReadTimeout
	server := caller.NewServer(e, caller.WithLimits(limits), caller.WithLogger(logger), caller.WithMetrics(metrics))

	// The entry and the admin address stop only after the callers' server.
	after, stop := context.WithCancel(context.WithoutCancel(env.ctx))
	group, after := errgroup.WithContext(after)
	group.Go(func() error { return env.runReloads(after, logger) })
	group.Go(func() error {
		defer stop()
		return e.Run(env.ctx, l.peers)
	})
	group.Go(func() error { return server.Serve(after, l.callers) })
	group.Go(func() error {
		return serveHTTP(after, l.admin, adminHandler(metrics, func() status {
			return status{
				Role:       "entry",
				Instance:   string(s.Instance),
				DataCentre: string(s.DataCentre),
				Revision:   int64(e.Revision()),
				Ready:      e.Ready(),
				Version:    Version,
			}
		}), logger)
	})
	return group.Wait()
}

func addressTexts(addresses []netip.AddrPort) []string {
	texts := make([]string, len(addresses))
	for i, a := range addresses {
		texts[i] = a.String()
	}
	return texts
}
