package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/backend"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

const (
	// memoryLease is the lease of a reservation. It is short, so that memory
	// is soon free again when the entry that reserved it dies or an order is
	// carried out late.
	memoryLease = 1900 * oleanderspool.Millis(1)
	// renewInterval is the interval between renewals; with this lease two may
	// be lost.
	renewInterval = 600 * oleanderspool.Millis(1)
	// idleMemoryMargin is kept between the end of an unused reservation and
	// the idle timeout of reserved memory.
	idleMemoryMargin = oleanderspool.Second
	// orderTimeout bounds a memory order. An order without an answer may still
	// be carried out.
	orderTimeout = 400 * oleanderspool.Millis(1)
	// maxReleaseAttempts is how often a release is sent until it is answered.
	// After that, the lease ends the reservation.
	maxReleaseAttempts = 2
)

// reservation is memory that a helper holds for a request.
type reservation struct {
	server directory.Server
	id     string
	tokens int64
}

// reservations holds the reserved memory of one attempt and renews it until
// release.
type reservations struct {
	gateway    *Gateway
	list       []reservation
	cancel     context.CancelFunc
	done       sync.WaitGroup
	used       atomic.Bool // the first event has arrived, so the memory is in use
	reservedAt oleanderspool.Millis
}

// markUsed records that the request uses the memory, so that it is no longer
// idle.
func (r *reservations) markUsed() {
	r.used.Store(true)
}

// unusedTooLong reports whether the memory has been held unused for too long,
// for example because the request waits at a server that has stopped.
func (r *reservations) unusedTooLong() bool {
	return !r.used.Load() && r.gateway.clock.Now()-r.reservedAt > r.gateway.memoryIdleTimeout-memoryLease-idleMemoryMargin
}

// reserve reserves the memory of a placement. When a helper does not grant it,
// reserve returns nil and that helper.
func (g *Gateway) reserve(ctx context.Context, as assignment) (*reservations, directory.Server) {
	r := &reservations{gateway: g, reservedAt: g.clock.Now()}
	for i, h := range as.Helpers {
		if h.ReservedTokens == 0 {
			continue
		}
		res := reservation{server: h.Server, id: reservationID(as.ids[i+1]), tokens: h.ReservedTokens}
		r.list = append(r.list, res)
		if !g.sendOrder(ctx, res.server, g.format.ReserveOrder(res.server.Instance, res.id, res.tokens, memoryLease)) {
			go g.guard.Run("release", r.release)
			return nil, h.Server
		}
	}
	renewal, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.cancel = cancel
	for _, res := range r.list {
		r.done.Add(1)
		go g.guard.Run("renewal", func() { r.renew(renewal, res) })
	}
	return r, directory.Server{}
}

func reservationID(id placement.TaskID) string {
	return strconv.FormatUint(uint64(id), 36)
}

func (r *reservations) renew(ctx context.Context, res reservation) {
	defer r.done.Done()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	clock.Every(ctx, renewInterval, nil, func() {
		if r.unusedTooLong() {
			r.gateway.logger.Warn("reservation unused; no longer renewing it", "instance", res.server.Instance, "reservation", res.id, "held_ms", int64(r.gateway.clock.Now()-r.reservedAt))
			stop()
			return
		}
		if !r.gateway.sendOrder(ctx, res.server, r.gateway.format.ReserveOrder(res.server.Instance, res.id, res.tokens, memoryLease)) && ctx.Err() == nil {
			r.gateway.logger.Warn("failed to renew reservation", "instance", res.server.Instance, "reservation", res.id)
		}
	})
}

// release stops the renewals and then ends the reservations.
func (r *reservations) release() {
	if r.cancel != nil {
		r.cancel()
		r.done.Wait()
	}
	ctx := context.Background()
	for _, res := range r.list {
		for range maxReleaseAttempts {
			if r.gateway.sendOrder(ctx, res.server, r.gateway.format.ReleaseOrder(res.server.Instance, res.id)) {
				break
			}
		}
	}
}

// sendOrder sends a memory order and reports whether the server carried it
// out.
func (g *Gateway) sendOrder(ctx context.Context, s directory.Server, o oleanderspool.MemoryOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	exchange, err := g.pool.Do(ctx, s, backend.Request{
		Method: http.MethodPost, Target: o.Path, Host: s.Address, Header: o.Header, Body: o.Body,
	}, g.format)
	if err != nil {
		g.logger.Warn("memory order failed", "instance", s.Instance, "error", err.Error())
		return false
	}
	defer exchange.Close()
	if err := exchange.Discard(); err != nil {
		g.logger.Warn("answer to memory order incomplete", "instance", s.Instance, "error", err.Error())
	}
	if exchange.Answer.Status != http.StatusOK {
		g.logger.Info("memory order refused", "instance", s.Instance, "status", exchange.Answer.Status, "body", string(o.Body))
	}
	return exchange.Answer.Status == http.StatusOK
}
