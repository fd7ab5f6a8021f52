package agent

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/order"
)

// orderInterval is how often the planner is asked without an event.
const orderInterval = 200 * oleanderspool.Millis(1)

// runOrders brings the engine to what configuration wants until ctx ends.
func (a *Agent) runOrders(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		action := a.planner.Next(a.clock.Now())
		a.mu.Unlock()
		switch action.Kind {
		case order.ActionReserve:
			a.reservePermit(ctx, action)
		case order.ActionOrder:
			a.giveOrder(ctx, action)
		default:
			a.awaitOrders(ctx)
		}
	}
}

func (a *Agent) awaitOrders(ctx context.Context) {
	t := time.NewTimer(orderInterval.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-a.reorder:
	case <-t.C:
	}
}

// reservePermit asks the weight store for a permit to load.
func (a *Agent) reservePermit(ctx context.Context, action order.Action) {
	wait, err := a.artefacts.Reserve(ctx, action.Source)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.planner.ReserveFailed(a.clock.Now())
		return
	}
	a.planner.Reserved(wait, a.clock.Now())
}

// giveOrder gives one order to the engine and takes its answer.
func (a *Agent) giveOrder(ctx context.Context, action order.Action) {
	err := a.engine.Apply(ctx, action.Order)
	result := "applied"
	switch {
	case errorx.IsOfType(err, oleanderspool.ErrFenced):
		result = "fenced"
	case err != nil:
		result = "failed"
	}
	a.metrics.Ordered(action.Order.Kind, result)
	a.logger.Info("engine order", "kind", action.Order.Kind, "model", action.Order.Model,
		"version", action.Order.Version, "adapter", action.Order.Adapter, "result", result)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.planner.OrderAnswered(err, a.clock.Now())
	a.changed.Notify()
}

// alwaysPermit is the weight store of an agent without one.
type alwaysPermit struct{}

// Reserve permits every load at once.
func (alwaysPermit) Reserve(context.Context, string) (oleanderspool.Millis, error) {
	return 0, nil
}
