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
	// memoryLease is the lease of a reservation. It is short, so that memory of an
	// entry that dies, or of an order that is carried out late, is soon free.
	memoryLease = 1900 * oleanderspool.Millis(1)
	// renewInterval is the span between renewals; two may be lost.
	renewInterval = 600 * oleanderspool.Millis(1)
	// idleMemoryMargin is kept between the end of an unused reservation and the
	// longest span for which one may exist.
	idleMemoryMargin = oleanderspool.Second
	// orderTimeout bounds an order. One without an answer may still be carried out.
	orderTimeout = 400 * oleanderspool.Millis(1)
	// releaseTries is the number of times that a release is sent until it is
	// answered. After that the lease ends the reservation.
	releaseTries = 2
)

// reservation is memory that a helper holds for a request.
type reservation struct {
	server directory.Server
	id     string
	tokens int64
}

// reservations holds the memory of one attempt and renews it until release.
type reservations struct {
	g      *Gateway
	list   []reservation
	cancel context.CancelFunc
	done   sync.WaitGroup
	used   atomic.Bool // the request has begun, so its memory is in use
	since  oleanderspool.Millis
}

// begin notes that the request uses the memory.
func (r *reservations) begin() {
	r.used.Store(true)
}

// expired reports whether the memory was held for too long without being used,
// for example because the request waits at a server that has stopped.
func (r *reservations) expired() bool {
	return !r.used.Load() && r.g.clock.Now()-r.since > r.g.memoryIdle-memoryLease-idleMemoryMargin
}

// reserve reserves the memory of a placement. It returns nil when a helper does
// not grant it, with the server that did not.
func (g *Gateway) reserve(ctx context.Context, p placed) (*reservations, directory.Server) {
	r := &reservations{g: g, since: g.clock.Now()}
	for i, h := range p.Helpers {
		if h.ReservedTokens == 0 {
			continue
		}
		e := reservation{server: h.Server, id: reservationID(p.ids[i+1]), tokens: h.ReservedTokens}
		r.list = append(r.list, e)
		if !g.order(ctx, e.server, g.format.ReserveOrder(e.server.Instance, e.id, e.tokens, memoryLease)) {
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
			r.g.logger.Warn("reservation unused", "instance", e.server.Instance, "reservation", e.id, "held_ms", int64(r.g.clock.Now()-r.since))
			stop()
			return
		}
		if !r.g.order(ctx, e.server, r.g.format.ReserveOrder(e.server.Instance, e.id, e.tokens, memoryLease)) && ctx.Err() == nil {
			r.g.logger.Warn("renewal failed", "instance", e.server.Instance, "reservation", e.id)
		}
	})
}

// release ends the renewals and then the reservations.
func (r *reservations) release() {
	if r.cancel != nil {
		r.cancel()
		r.done.Wait()
	}
	ctx := context.Background()
	for _, e := range r.list {
		for range releaseTries {
			if r.g.order(ctx, e.server, r.g.format.ReleaseOrder(e.server.Instance, e.id)) {
				break
			}
		}
	}
}

// order sends an order and reports whether the server carried it out.
func (g *Gateway) order(ctx context.Context, s directory.Server, o oleanderspool.MemoryOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	e, err := g.pool.Do(ctx, s, backend.Request{
		Method: http.MethodPost, Target: o.Path, Host: s.Address, Header: o.Header, Body: o.Body,
	}, g.format)
	if err != nil {
		g.logger.Warn("order failed", "instance", s.Instance, "error", err.Error())
		return false
	}
	defer e.Close()
	if err := e.Discard(); err != nil {
		g.logger.Warn("order answered in part", "instance", s.Instance, "error", err.Error())
	}
	if e.Answer.Status != http.StatusOK {
		g.logger.Info("order refused", "instance", s.Instance, "status", e.Answer.Status, "body", string(o.Body))
	}
	return e.Answer.Status == http.StatusOK
}
