package agent

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/order"
)

// orderInterval is how often the planner is asked for its next action when no
// event triggers it.
const orderInterval = 200 * oleanderspool.Millis(1)

// runOrders keeps the engine in line with the configuration until ctx ends: it
// carries out the actions of the planner one by one.
func (a *Agent) runOrders(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		action := a.planner.Next(a.clock.Now())
		a.mu.Unlock()
		switch action.Kind {
		case order.ActionRequestPermit:
			a.reservePermit(ctx, action)
		case order.ActionOrder:
			a.applyOrder(ctx, action)
		default:
			a.awaitOrders(ctx)
		}
	}
}

// awaitOrders waits until the planner may have an action.
func (a *Agent) awaitOrders(ctx context.Context) {
	t := time.NewTimer(orderInterval.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-a.wakePlanner:
	case <-t.C:
	}
}

// reservePermit asks the weight store for a permit to load weights.
func (a *Agent) reservePermit(ctx context.Context, action order.Action) {
	wait, err := a.weightStore.Reserve(ctx, action.Source)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.planner.PermitFailed(a.clock.Now())
		return
	}
	a.planner.PermitAnswered(wait, a.clock.Now())
}

// applyOrder sends one order to the engine and reports its result to the planner.
func (a *Agent) applyOrder(ctx context.Context, action order.Action) {
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

// alwaysPermit is the default weight store. It limits nothing.
type alwaysPermit struct{}

// Reserve permits every load without a delay.
func (alwaysPermit) Reserve(context.Context, string) (oleanderspool.Millis, error) {
	return 0, nil
}
