package entry

import (
	"context"
	"sync"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

const (
	configurationReadLimit = 500
	configurationReadWait  = 5 * oleanderspool.Second
	configurationReadRetry = 500 * oleanderspool.Millis(1)
)

// follower keeps the configuration up to date from the log and from peers.
type follower struct {
	entry *Entry

	mu       sync.Mutex
	value    configuration.Configuration
	at       oleanderspool.Revision
	position oleanderspool.Offset
}

func newFollower(e *Entry) *follower {
	return &follower{entry: e}
}

func (f *follower) current() configuration.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

func (f *follower) revision() oleanderspool.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		from := f.position + 1
		f.mu.Unlock()
		records, _, err := f.entry.log.Read(ctx, oleanderspool.StreamConfiguration, from, configurationReadLimit, configurationReadWait)
		if err != nil {
			sleep(ctx, configurationReadRetry)
			continue
		}
		f.apply(records)
	}
}

func (f *follower) apply(records []oleanderspool.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.at
	for _, r := range records {
		f.position = r.Offset
		change, err := configuration.ParseChangeSet("", r.Data)
		if err != nil {
			continue
		}
		if next, err := f.value.Apply(change, r.Offset); err == nil {
			f.value, f.at = next, r.Offset
		}
	}
	if f.at != before {
		f.entry.configured(f.value, f.at)
	}
}

// configured passes a new configuration to the state machines that need it.
func (e *Entry) configured(c configuration.Configuration, revision oleanderspool.Revision) {
	now := e.clock.Now()
	e.metrics.Revision(revision)
	e.logger.Info("configuration in force", "revision", revision)
	e.mu.Lock()
	e.admission.ApplyAccounts(revision, c.ClientAccounts(), now)
	e.mu.Unlock()
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	e.members.table.ApplySets(revision, c.ServerSets(), now)
}

// handler serves the inner protocol.
type handler struct {
	peerpb.DRPCPeerUnimplementedServer
	entry *Entry
}

// Status describes the process.
func (h *handler) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	e := h.entry
	return &peerpb.StatusReply{
		Revision:   int64(e.configuration.revision()),
		Instance:   string(e.instance),
		DataCentre: string(e.dataCentre),
		Role:       "entry",
		Leaving:    e.stopping.Load(),
		Version:    e.version,
	}, nil
}
