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
	used       atomic.Bool // the first event has come, so the memory is in use
	reservedAt oleanderspool.Millis
}

// markUsed records that the request uses the memory, so that it is no longer
// idle.
func (r *reservations) markUsed() {
	r.used.Store(true)
}

// expired reports whether the memory has been held unused for too long, for
// example because the request waits at a server that has stopped.
func (r *reservations) expired() bool {
	return !r.used.Load() && r.gateway.clock.Now()-r.reservedAt > r.gateway.memoryIdle-memoryLease-idleMemoryMargin
}

// reserve reserves the memory of a placement. When a helper does not grant it,
// reserve returns nil and that helper.
func (g *Gateway) reserve(ctx context.Context, p assignment) (*reservations, directory.Server) {
	r := &reservations{gateway: g, reservedAt: g.clock.Now()}
	for i, h := range p.Helpers {
		if h.ReservedTokens == 0 {
			continue
		}
		e := reservation{server: h.Server, id: reservationID(p.ids[i+1]), tokens: h.ReservedTokens}
		r.list = append(r.list, e)
		if !g.sendOrder(ctx, e.server, g.format.ReserveOrder(e.server.Instance, e.id, e.tokens, memoryLease)) {
			go r.release()
			return nil, h.Server
		}
	}
	renewal, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.cancel = cancel
	for _, e := range r.list {
		r.done.Add(1)
		go r.renew(renewal, e)
	}
	return r, directory.Server{}
}

func reservationID(id placement.TaskID) string {
	return strconv.FormatUint(uint64(id), 36)
}

func (r *reservations) renew(ctx context.Context, e reservation) {
	defer r.done.Done()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	clock.Every(ctx, renewInterval, nil, func() {
		if r.expired() {
			r.gateway.logger.Warn("reservation unused; no longer renewing it", "instance", e.server.Instance, "reservation", e.id, "held_ms", int64(r.gateway.clock.Now()-r.reservedAt))
			stop()
			return
		}
		if !r.gateway.sendOrder(ctx, e.server, r.gateway.format.ReserveOrder(e.server.Instance, e.id, e.tokens, memoryLease)) && ctx.Err() == nil {
			r.gateway.logger.Warn("failed to renew reservation", "instance", e.server.Instance, "reservation", e.id)
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
	for _, e := range r.list {
		for range maxReleaseAttempts {
			if r.gateway.sendOrder(ctx, e.server, r.gateway.format.ReleaseOrder(e.server.Instance, e.id)) {
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
	e, err := g.pool.Do(ctx, s, backend.Request{
		Method: http.MethodPost, Target: o.Path, Host: s.Address, Header: o.Header, Body: o.Body,
	}, g.format)
	if err != nil {
		g.logger.Warn("memory order failed", "instance", s.Instance, "error", err.Error())
		return false
	}
	defer e.Close()
	if err := e.Discard(); err != nil {
		g.logger.Warn("answer to memory order incomplete", "instance", s.Instance, "error", err.Error())
	}
	if e.Answer.Status != http.StatusOK {
		g.logger.Info("memory order refused", "instance", s.Instance, "status", e.Answer.Status, "body", string(o.Body))
	}
	return e.Answer.Status == http.StatusOK
}
