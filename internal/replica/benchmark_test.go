package replica_test

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/internal/replica"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// BenchmarkOffer measures, for several numbers of client accounts, the work of
// an entry that offers one changed account and of the agent that applies the
// offer.
func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{20, 200, 2000, 20_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			entry, agent := newReplica(), newReplica()
			puts := []configuration.Put{{Object: configuration.Priority{ID: "crew", Level: 1}}}
			for i := range n {
				puts = append(puts, configuration.Put{Object: account(i, 1)})
			}
			applyOffer(b, entry, recordMessage(b, "first", 1, puts...))
			applyOffer(b, agent, entry.CatchUp(0))
			offset := int64(1)
			b.ReportAllocs()
			for b.Loop() {
				put := configuration.Put{Object: account(0, offset+1), Revision: oleanderspool.Revision(offset)}
				offset++
				applyOffer(b, entry, recordMessage(b, fmt.Sprintf("change-%08d", offset), offset, put))
				applyOffer(b, agent, entry.CatchUp(oleanderspool.Offset(offset-1)))
			}
		})
	}
}

func newReplica() *replica.Replica {
	return replica.New(slog.New(slog.DiscardHandler), observe.NewMetrics(), func(configuration.Configuration, oleanderspool.Revision) {})
}

func account(i int, burst int64) configuration.ClientAccount {
	return configuration.ClientAccount{
		ID: oleanderspool.ClientAccountID(fmt.Sprintf("account-%05d", i)), KeyHash: configuration.HashKey(fmt.Sprint(i)),
		Priority: "crew", RequestsPerSec: 10, BurstRequests: int(burst), ShareOfCapacity: 0.5,
	}
}

func recordMessage(b *testing.B, id string, offset int64, puts ...configuration.Put) *peerpb.ConfigurationReply {
	data, err := configuration.ChangeSet{ID: id, Puts: puts}.Print()
	if err != nil {
		b.Fatal(err)
	}
	return &peerpb.ConfigurationReply{Revision: offset, Records: []*peerpb.LogRecord{{Offset: offset, Data: data}}}
}

func applyOffer(b *testing.B, r *replica.Replica, m *peerpb.ConfigurationReply) {
	before := r.Revision()
	if reply := r.ApplyPushed(m); oleanderspool.Revision(reply.GetRevision()) <= before {
		b.Fatal("the offer was not applied")
	}
}
