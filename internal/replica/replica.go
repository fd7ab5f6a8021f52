// Package replica keeps the configuration of one process up to date: from the
// platform's log, from peers, or from both. It carries the inputs and outputs
// of package revision, which decides.
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

// catchUpBytes bounds the records of one message to a peer.
const catchUpBytes = 1 << 20

// Replica holds the replayed configuration of one process. It is safe for
// concurrent use.
type Replica struct {
	logger  *slog.Logger
	metrics *observe.Metrics
	changed func(configuration.Configuration, oleanderspool.Revision)

	mu    sync.Mutex
	state revision.State

	snapshots oleanderspool.Offset // last read snapshot; used by Follow only

	value atomic.Pointer[configuration.Configuration]
	at    atomic.Int64
}

// New returns an empty replica. It calls changed, one call at a time, for each
// newer configuration.
func New(logger *slog.Logger, metrics *observe.Metrics, changed func(configuration.Configuration, oleanderspool.Revision)) *Replica {
	r := &Replica{logger: logger, metrics: metrics, changed: changed}
	r.value.Store(&configuration.Configuration{})
	return r
}

// Configuration returns the configuration in force.
func (r *Replica) Configuration() configuration.Configuration {
	return *r.value.Load()
}

// Revision returns the revision of the configuration in force, 0 for none.
func (r *Replica) Revision() oleanderspool.Revision {
	return oleanderspool.Revision(r.at.Load())
}

// Position returns the offset of the last record that was decided.
func (r *Replica) Position() oleanderspool.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Position()
}

// CatchUp returns what a peer at the given position lacks.
func (r *Replica) CatchUp(after oleanderspool.Offset) *peerpb.ConfigurationReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return encode(r.state.CatchUp(after, catchUpBytes))
}

// ApplyCatchUp applies what a peer sent. It returns the error of package revision.
func (r *Replica) ApplyCatchUp(m *peerpb.ConfigurationReply) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := r.state.ApplyCatchUp(decode(m))
	r.publish()
	return err
}

// ApplyOffer applies what a peer offers and says how far the process is now.
func (r *Replica) ApplyOffer(m *peerpb.ConfigurationReply) *peerpb.OfferReply {
	if err := r.ApplyCatchUp(m); err != nil {
		r.metrics.Changed("configuration_offer_invalid")
	}
	return &peerpb.OfferReply{Revision: int64(r.Revision()), Position: int64(r.Position())}
}

// Pull asks the process at an address until the replica has all that it has.
// The error is that of the call or of package revision.
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

// publish makes a newer revision visible. The caller holds the lock.
func (r *Replica) publish() {
	at := r.state.Revision()
	if at <= r.Revision() {
		return
	}
	value := r.state.Configuration()
	r.value.Store(&value)
	r.at.Store(int64(at))
	r.metrics.Revision(at)
	r.logger.Info("configuration in force", "revision", at)
	r.changed(value, at)
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
