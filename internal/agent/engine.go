package agent

import (
	"context"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/memory"
)

const (
	// reportTimeout limits the requests for the engine's report and memory list.
	// After it, the engine counts as not available. An engine that is busy with a
	// long step may answer late; one that has ended refuses the connection at once.
	reportTimeout = 3 * time.Second
	// callTimeout limits other short calls to the engine.
	callTimeout = time.Second
)

// adoptEngine initialises the ledger from an engine that may be running already.
// Memory that the engine holds for attempts of an earlier agent has no owner, so
// it is cancelled later.
func (a *Agent) adoptEngine(ctx context.Context) {
	requested := a.clock.Now()
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, entries, err := a.inspect(bounded)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.logger.Warn("engine not available", "error", err)
		return
	}
	a.setReport(report)
	a.queue.SetMemory(report.CapacityTokens)
	a.ledger.ObserveRun(report.CapacityTokens, report.RunID, requested)
	a.ledger.Rebuild(report.CapacityTokens, memory.List{Allocations: entries, RequestedAt: requested, RunID: report.RunID}, a.clock.Now())
}

// inspect requests the engine's report and its list of memory entries.
func (a *Agent) inspect(ctx context.Context) (oleanderspool.EngineReport, []oleanderspool.MemoryAllocation, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := a.engine.Report(ctx)
	if err != nil {
		return report, nil, err
	}
	entries, err := a.engine.Allocations(ctx)
	return report, entries, err
}

// observeEngine reconciles the ledger with the engine's memory list and cancels
// engine memory that has no owner.
func (a *Agent) observeEngine(ctx context.Context) {
	requested := a.clock.Now()
	report, entries, err := a.inspect(ctx)
	a.mu.Lock()
	if err != nil {
		a.setEngineUp(false)
		a.mu.Unlock()
		return
	}
	now := a.clock.Now()
	a.setReport(report)
	a.queue.SetMemory(report.CapacityTokens)
	a.ledger.ObserveRun(report.CapacityTokens, report.RunID, now)
	a.ledger.Expire(now)
	a.ledger.Reconcile(memory.List{Allocations: entries, RequestedAt: requested, RunID: report.RunID}, now)
	cancels := a.ledger.Cancels(now)
	a.setEngineSlow(a.queue.Slow(now), now)
	a.metrics.SetEngineMemory(a.ledger.Free(), a.ledger.Size()-a.ledger.Free())
	a.mu.Unlock()
	for _, c := range cancels {
		a.cancelMemory(ctx, c)
	}
	a.wakeDispatch()
}

// cancelMemory cancels memory on the engine. A failed cancellation is retried at
// the next observation.
func (a *Agent) cancelMemory(ctx context.Context, c memory.Cancel) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := a.engine.Cancel(ctx, c.Name); err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Confirm(c, a.clock.Now())
}

// setReport stores a report of the engine and detects a restart of the engine.
func (a *Agent) setReport(report oleanderspool.EngineReport) {
	if a.report.RunID != "" && a.report.RunID != report.RunID {
		a.queue.EngineLost(a.clock.Now())
		a.metrics.StateChanged("engine_restarted")
		a.logger.Warn("engine restarted", "instance", a.identity.Instance)
	}
	serving := len(a.planner.ServedModels())
	a.planner.ObserveReport(report, a.clock.Now())
	if len(a.planner.ServedModels()) != serving {
		a.changed.Notify()
	}
	a.report = report
	a.setEngineUp(true)
}

// setEngineUp records whether the engine is available.
func (a *Agent) setEngineUp(up bool) {
	if a.engineUp == up {
		return
	}
	a.engineUp = up
	a.changed.Notify()
	if up {
		a.metrics.StateChanged("engine_up")
		a.logger.Info("engine available", "instance", a.identity.Instance)
		return
	}
	a.metrics.StateChanged("engine_down")
	a.logger.Warn("engine not available", "instance", a.identity.Instance)
}

// setEngineSlow records whether the engine responds but is slower than usual. A
// slow engine stays in service, since routing takes its prefill rate into account.
func (a *Agent) setEngineSlow(slow bool, now oleanderspool.Millis) {
	if a.engineSlow == slow {
		return
	}
	a.engineSlow = slow
	load := a.queue.Load(now)
	values := []any{"instance", a.identity.Instance, "tokens_per_ms", load.PrefillRate, "queued", load.Queued, "running", load.Running}
	if slow {
		a.metrics.StateChanged("engine_slow")
		a.logger.Warn("engine slow", values...)
		return
	}
	a.metrics.StateChanged("engine_fast")
	a.logger.Info("engine at its usual speed", values...)
}

// engineCrashed reports whether the engine is no longer in the run that an
// attempt was handed to. An engine that cannot be reached counts as crashed.
func (a *Agent) engineCrashed(engineRun string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.baseContext), callTimeout)
	defer cancel()
	report, err := a.engine.Report(ctx)
	if err == nil {
		return report.RunID != engineRun
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setEngineUp(false)
	return true
}
