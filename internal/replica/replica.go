// Package replica keeps the configuration of one process up to date from the
// platform's log, from peers, or from both. It does the input and output for
// package revision, which decides about change sets.
package replica

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/internal/revision"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// maxCatchUpBytes bounds the size of the records in one reply to a peer.
const maxCatchUpBytes = 1 << 20

// Replica holds the replayed configuration of one process. It is safe for
// concurrent use.
type Replica struct {
	logger   *slog.Logger
	metrics  *observe.Metrics
	onChange func(configuration.Configuration, oleanderspool.Revision)

	mu    sync.Mutex
	state revision.State

	// lastSnapshot is the offset of the last snapshot record that was read.
	// Only the goroutine of Follow or ReadToHead uses it.
	lastSnapshot oleanderspool.Offset

	current         atomic.Pointer[configuration.Configuration]
	currentRevision atomic.Int64
}

// New returns an empty replica. The replica calls onChange, one call at a time,
// for each newer configuration.
func New(logger *slog.Logger, metrics *observe.Metrics, onChange func(configuration.Configuration, oleanderspool.Revision)) *Replica {
	r := &Replica{logger: logger, metrics: metrics, onChange: onChange}
	r.current.Store(&configuration.Configuration{})
	return r
}

// Configuration returns the configuration in force.
func (r *Replica) Configuration() configuration.Configuration {
	return *r.current.Load()
}

// Revision returns the revision of the configuration in force, or 0 if there is
// none.
func (r *Replica) Revision() oleanderspool.Revision {
	return oleanderspool.Revision(r.currentRevision.Load())
}

// Position returns the offset of the last record that was applied.
func (r *Replica) Position() oleanderspool.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Position()
}

// CatchUp returns what a peer at the given position lacks, up to a size limit.
func (r *Replica) CatchUp(after oleanderspool.Offset) *peerpb.ConfigurationReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return encode(r.state.CatchUp(after, maxCatchUpBytes))
}

// ApplyCatchUp applies records and a snapshot that a peer sent. Errors are
// those of package revision.
func (r *Replica) ApplyCatchUp(m *peerpb.ConfigurationReply) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := r.state.ApplyCatchUp(decode(m))
	r.publish()
	return err
}

// ApplyPushed applies a catch-up message that a peer pushed, and returns the
// revision and position that the replica has reached.
func (r *Replica) ApplyPushed(m *peerpb.ConfigurationReply) *peerpb.OfferReply {
	if err := r.ApplyCatchUp(m); err != nil {
		r.metrics.StateChanged("configuration_offer_invalid")
	}
	return &peerpb.OfferReply{Revision: int64(r.Revision()), Position: int64(r.Position())}
}

// Pull requests catch-up replies from the process at an address until one
// does not advance the position. Errors are those of the calls and of package revision.
func (r *Replica) Pull(ctx context.Context, peers *peer.Client, address string) error {
	for {
		before := r.Position()
		reply, err := peers.Process(address).Configuration(ctx, &peerpb.ConfigurationRequest{After: int64(before)})
		if err != nil {
			return err
		}
		if err := r.ApplyCatchUp(reply); err != nil {
			return err
		}
		if r.Position() == before {
			return nil
		}
	}
}

// publish makes a newer revision visible to readers and calls onChange. The
// caller holds r.mu.
func (r *Replica) publish() {
	next := r.state.Revision()
	if next <= r.Revision() {
		return
	}
	current := r.state.Configuration()
	r.current.Store(&current)
	r.currentRevision.Store(int64(next))
	r.metrics.SetRevision(next)
	r.logger.Info("configuration in force", "revision", next)
	r.onChange(current, next)
}

func encode(c revision.CatchUp) *peerpb.ConfigurationReply {
	m := &peerpb.ConfigurationReply{Revision: int64(c.Revision), Snapshot: c.Snapshot}
	for _, record := range c.Records {
		m.Records = append(m.Records, &peerpb.LogRecord{Offset: int64(record.Offset), Data: record.Data})
	}
	return m
}

func decode(m *peerpb.ConfigurationReply) revision.CatchUp {
	c := revision.CatchUp{Revision: oleanderspool.Revision(m.GetRevision()), Snapshot: m.GetSnapshot()}
	for _, record := range m.GetRecords() {
		c.Records = append(c.Records, oleanderspool.Record{Offset: oleanderspool.Offset(record.GetOffset()), Data: record.GetData()})
	}
	return c
}
