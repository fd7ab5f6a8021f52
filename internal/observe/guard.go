package observe

import (
	"fmt"
	"log/slog"
	"runtime/debug"
)

// Guard limits an unexpected panic to the task in which it occurs: the task ends,
// the process goes on, and the panic is logged and counted. State that the task may
// have changed in part must be rebuilt by its owner.
type Guard struct {
	logger  *slog.Logger
	metrics *Metrics
}

// NewGuard returns a guard.
func NewGuard(logger *slog.Logger, metrics *Metrics) *Guard {
	return &Guard{logger: logger, metrics: metrics}
}

// Run calls f and reports whether it panicked. task names the work in logs and
// metrics; the names form a small fixed set.
func (g *Guard) Run(task string, f func()) (panicked bool) {
	defer func() {
		if r := recover(); r != nil {
			panicked = true
			g.Record(task, r)
		}
	}()
	f()
	return false
}

// Record logs and counts a panic that the caller has recovered from.
func (g *Guard) Record(task string, panicValue any) {
	g.metrics.panics.WithLabelValues(task).Inc()
	g.logger.Error("panic", "task", task, "panic", fmt.Sprint(panicValue), "stack", string(debug.Stack()))
}
