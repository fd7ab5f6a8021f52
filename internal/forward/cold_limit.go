package forward

import (
	"math/rand/v2"
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/warmup"
)

// coldLimits holds the request limits of cold servers. The lock of the shared state
// protects it.
type coldLimits struct {
	factor, slack float64 // see [WithColdLimit]
	seed          uint64
	startedAt     oleanderspool.Millis // of this entry
	fleet         *warmup.Fleet
	limiters      map[string]*warmup.Limiter // by service
	cold          *warmup.ColdServers
}

func newColdLimits(seed uint64, now oleanderspool.Millis) coldLimits {
	return coldLimits{seed: seed, startedAt: now, fleet: warmup.NewFleet(now), limiters: make(map[string]*warmup.Limiter), cold: warmup.NewColdServers()}
}

// opensIn returns the time until the entry, which started recently, may send requests to
// services with a limit; 0 if it may.
func (c *coldLimits) opensIn(now oleanderspool.Millis) oleanderspool.Millis {
	if c.factor <= 0 {
		return 0
	}
	return max(0, c.startedAt+warmup.Window-now)
}

// awaitColdLimit waits until the entry may send requests to the service. All entries
// may have started together, so that no other one could serve a refused request sooner.
func (t *transaction) awaitColdLimit() {
	g := t.gateway
	wait := g.shared.coldLimits.opensIn(g.clock.Now())
	if wait == 0 || t.service.ColdRate <= 0 {
		return
	}
	g.metrics.StateChanged("slow_start_wait")
	g.logger.Info("waiting", "request_id", t.call.ID, "cause", "slow-start limit", "wait_ms", int64(wait))
	clock.Sleep(t.ctx, wait)
}

// expire records the number of the other entries and forgets what no longer counts. It
// is called once a second, also while there are no requests, so that the largest
// number is known when they come.
func (c *coldLimits) expire(others int, now oleanderspool.Millis) {
	c.fleet.Observe(others, now)
	c.cold.Expire(now)
	for _, l := range c.limiters {
		l.Expire(now)
	}
}

// limitEffect is the effect of the limit on a placement. The zero value stands for a
// service without a limit.
type limitEffect struct {
	limiter  *warmup.Limiter
	excluded int // servers that the limit excludes
	// untried says that the limit excludes a usable server that the request was not
	// sent to. It is set when no server was found.
	untried bool
	// size and share are the inputs of the limit.
	size  warmup.Size
	share warmup.Share
}

// coldLimiter returns the limiter of a service, or nil if it has no limit.
func (s *sharedState) coldLimiter(snapshot *directory.Snapshot, service directory.Service, now oleanderspool.Millis) *warmup.Limiter {
	c := &s.coldLimits
	if c.factor <= 0 || service.ColdRate <= 0 {
		return nil
	}
	l := c.limiters[service.Name]
	if l == nil {
		l = warmup.NewLimiter(c.seed, c.startedAt)
		c.limiters[service.Name] = l
	}
	c.fleet.Observe(s.peers.LivePeers(), now)
	l.SetLimit(warmup.Bound(service.ColdRate, c.factor, c.slack), c.fleet.Size(snapshot.ServerCount(), now))
	return l
}

// limit returns the servers that may get a request now. l is nil for a service without
// a limit.
func limit(l *warmup.Limiter, servers []directory.Server, now oleanderspool.Millis) ([]directory.Server, limitEffect) {
	if l == nil {
		return servers, limitEffect{}
	}
	allowed := l.Filter(servers, now)
	return allowed, limitEffect{limiter: l, excluded: len(servers) - len(allowed), size: l.Size(), share: l.Share()}
}

// excludesUntried reports whether the limit excludes a server that a request was not
// sent to.
func (e limitEffect) excludesUntried(servers []directory.Server, tried []oleanderspool.InstanceID, now oleanderspool.Millis) bool {
	return e.excluded > 0 && slices.ContainsFunc(servers, func(s directory.Server) bool {
		return !slices.Contains(tried, s.Instance) && !e.limiter.Allows(s.Instance, now)
	})
}

// limitedSend is a send that a limiter has recorded.
type limitedSend struct {
	limiter   *warmup.Limiter
	server    oleanderspool.InstanceID
	at        oleanderspool.Millis
	withdrawn bool // the server may no longer get the request
}

// newLimitedSend returns the send that a placement has recorded, or nil for a service
// without a limit.
func newLimitedSend(as assignment) *limitedSend {
	if as.limit.limiter == nil {
		return nil
	}
	return &limitedSend{limiter: as.limit.limiter, server: as.Server.Instance, at: as.placedAt}
}

// confirmSend reports whether a request may be sent now. Time may have passed since it
// was placed: for a connection, for memory, or because the process was frozen.
func (s *sharedState) confirmSend(send *limitedSend) bool {
	now := s.clock.Now()
	if now == send.at {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	send.withdrawn = !send.limiter.Renew(send.server, send.at, now)
	send.at = now
	return !send.withdrawn
}

// endSend gives a send back that does not count: the request was not sent, or its
// answer says that the server is not the one that it was meant for.
func (s *sharedState) endSend(a attempt) {
	if a.send.withdrawn || a.outcome != notSent && !a.misdirected() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.send.limiter.RecordNotCounted(a.send.server, a.send.at)
}

// recordCold records that a server said that it is cold, and reports whether that is
// new.
func (s *sharedState) recordCold(run directory.ServerRun, remaining oleanderspool.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldLimits.cold.Record(run, remaining, s.clock.Now())
}

// recordLimited counts and logs the servers that the limit excluded from a placement.
func (t *transaction) recordLimited(as assignment) {
	if as.limit.excluded == 0 {
		return
	}
	t.gateway.metrics.ColdLimited(as.limit.excluded)
	t.gateway.logger.Debug("servers excluded", "request_id", t.call.ID, "cause", "slow-start limit", "excluded", as.limit.excluded,
		"entries", as.limit.size.Entries, "settled", as.limit.size.Settled, "share", as.limit.share.Whole)
}

// recordWithdrawn ends an attempt whose server may no longer get the request.
func (t *transaction) recordWithdrawn(a *attempt) {
	a.outcome = notSent
	t.tried = append(t.tried, a.Server.Instance)
	t.gateway.metrics.ColdLimited(1)
	t.gateway.logger.Info("attempt not sent", "request_id", t.call.ID, "instance", a.Server.Instance, "cause", "slow-start limit",
		"waited_ms", int64(a.send.at-a.placedAt), "sends", t.sends)
}

// coldLimitRefusal returns the refusal of a request for which the slow-start limit
// leaves no server.
func (t *transaction) coldLimitRefusal(as assignment) *oleanderspool.Refusal {
	effect := as.limit
	t.gateway.metrics.StateChanged("slow_start_refusal")
	t.gateway.logger.Info("not placed", "request_id", t.call.ID, "cause", "slow-start limit", "excluded", effect.excluded, "entries", effect.size.Entries,
		"worst_case", effect.size.WorstCase, "settled", effect.size.Settled, "share", effect.share.Whole, "share_part", effect.share.Part,
		"available_ms", int64(as.availableIn))
	t.gateway.shared.recordRefusal(t.subject.Request)
	return oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "each backend server has received its share of requests").WithRetryAfter(as.availableIn + rand.N(meanRetryAfter))
}
