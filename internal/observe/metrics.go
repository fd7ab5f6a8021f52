// Package observe provides the metrics and the logger of the processes.
//
// The values of each label form a fixed set that does not depend on client
// accounts or requests, so that 20,000 accounts add no memory here.
package observe

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/oleanderspool/oleanderspool"
)

const namespace = "oleanderspool"

// lengthClasses lists the length classes of prompts with their upper bounds in
// tokens.
var lengthClasses = []struct {
	bound int
	name  string
}{
	{2_000, "short"},
	{20_000, "medium"},
	{100_000, "long"},
}

// longestClass is the class of prompts above the last bound.
const longestClass = "very_long"

// LengthClass returns the name of the class of a prompt with that many tokens.
func LengthClass(tokens int) string {
	for _, c := range lengthClasses {
		if tokens <= c.bound {
			return c.name
		}
	}
	return longestClass
}

// LengthClasses returns the names of the length classes, shortest first.
func LengthClasses() []string {
	var names []string
	for _, c := range lengthClasses {
		names = append(names, c.name)
	}
	return append(names, longestClass)
}

// Metrics holds the metrics of one process. It is safe for concurrent use.
type Metrics struct {
	registry        *prometheus.Registry
	admitted        *prometheus.CounterVec
	finished        *prometheus.CounterVec
	refused         *prometheus.CounterVec
	retried         *prometheus.CounterVec
	piecesDropped   *prometheus.CounterVec
	stateChanges    *prometheus.CounterVec
	orders          *prometheus.CounterVec
	transfers       *prometheus.CounterVec
	firstToken      *prometheus.HistogramVec
	predictionError *prometheus.HistogramVec
	attempts        *prometheus.CounterVec
	unplaced        *prometheus.CounterVec
	coldLimited     prometheus.Counter
	revision        prometheus.Gauge
	running         prometheus.Gauge
	engineMemory    *prometheus.GaugeVec
	panics          *prometheus.CounterVec
	dataCentreSends *prometheus.CounterVec
	dataCentreBytes *prometheus.CounterVec
}

// NewMetrics returns the metrics of one process. The counters of every refusal
// reason and retry reason are present from the start, at 0.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry:      prometheus.NewRegistry(),
		admitted:      counter("requests_admitted_total", "Admitted requests by kind.", "kind"),
		finished:      counter("requests_finished_total", "Completely answered requests by kind.", "kind"),
		refused:       counter("refusals_total", "Refusals by reason and execution.", "reason", "execution"),
		retried:       counter("retries_total", "Retries by reason.", "reason"),
		piecesDropped: counter("pieces_dropped_total", "Dropped pieces of answers by cause.", "cause"),
		stateChanges:  counter("state_changes_total", "Changes of state by name.", "change"),
		orders:        counter("engine_orders_total", "Engine orders by kind and result.", "kind", "result"),
		transfers:     counter("cache_transfers_total", "Transfers of KV caches by part and result; a failure has its reason.", "part", "result"),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "first_token_seconds",
			Help:      "Time to first token by length class of the prompt.",
			Buckets:   prometheus.ExponentialBuckets(0.005, 2, 18),
		}, []string{"length"}),
		predictionError: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "first_token_error_seconds",
			Help:      "Time to first token less its prediction, by length class of the prompt.",
			Buckets:   []float64{-2, -0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10},
		}, []string{"length"}),
		panics:   counter("panics_total", "Unexpected panics by the task that they ended.", "task"),
		attempts: counter("attempts_total", "Requests sent to backend servers by outcome.", "outcome"),
		unplaced: counter("overload_refusals_total", "Requests refused because the backend servers are busy, by cause.", "cause"),
		coldLimited: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "cold_limit_exclusions_total", Help: "Backend servers excluded from a placement or an attempt by the request limit of a cold server.",
		}),

		dataCentreSends: counter("data_centre_requests_total", "Requests sent to backend servers by their data centre: own or other.", "data_centre"),
		dataCentreBytes: counter("data_centre_bytes_total", "Bytes of bodies exchanged with backend servers by their data centre, own or other, and direction.", "data_centre", "direction"),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "configuration_revision", Help: "Revision of the configuration in force.",
		}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "requests_running", Help: "Requests in progress.",
		}),
		engineMemory: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "engine_memory_tokens", Help: "Engine memory by state.",
		}, []string{"state"}),
	}
	m.register()
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func (m *Metrics) register() {
	m.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.admitted, m.finished, m.refused, m.retried, m.piecesDropped, m.stateChanges, m.orders, m.transfers,
		m.firstToken, m.predictionError, m.attempts, m.unplaced, m.coldLimited, m.revision, m.running, m.engineMemory, m.panics,
		m.dataCentreSends, m.dataCentreBytes,
	)
	for _, r := range oleanderspool.RefusalReasons {
		m.refused.WithLabelValues(string(r), oleanderspool.NotRun.String())
	}
	for _, r := range oleanderspool.RetryReasons {
		m.retried.WithLabelValues(string(r))
	}
}

// ObserveAge adds a gauge of the age of something that the process knows.
func (m *Metrics) ObserveAge(name, help string, age func() oleanderspool.Millis) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, func() float64 {
		return age().Duration().Seconds()
	}))
}

// ObserveCount adds a gauge of a number.
func (m *Metrics) ObserveCount(name, help string, count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, func() float64 {
		return float64(count())
	}))
}

// Handler serves the metrics over HTTP.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Registry returns the registry of the metrics, for tests.
func (m *Metrics) Registry() *prometheus.Registry {
	return m.registry
}

// Admitted counts an admitted request and marks it as running.
func (m *Metrics) Admitted(kind oleanderspool.RequestKind) {
	m.admitted.WithLabelValues(kindName(kind)).Inc()
	m.running.Inc()
}

// Ended marks an admitted request as no longer running.
func (m *Metrics) Ended() {
	m.running.Dec()
}

// Finished counts a completely answered request.
func (m *Metrics) Finished(kind oleanderspool.RequestKind) {
	m.finished.WithLabelValues(kindName(kind)).Inc()
}

// Refused counts a refusal.
func (m *Metrics) Refused(r *oleanderspool.Refusal) {
	m.refused.WithLabelValues(string(r.Reason), r.Execution.String()).Inc()
}

// Retried counts a retry.
func (m *Metrics) Retried(reason oleanderspool.RetryReason) {
	m.retried.WithLabelValues(string(reason)).Inc()
}

// PieceDropped counts a dropped piece of an answer. cause must be from a fixed
// set.
func (m *Metrics) PieceDropped(cause string) {
	m.piecesDropped.WithLabelValues(cause).Inc()
}

// StateChanged counts a change of state. change must be from a fixed set.
func (m *Metrics) StateChanged(change string) {
	m.stateChanges.WithLabelValues(change).Inc()
}

// Ordered counts an order to the engine. result is "applied", "fenced" or "failed".
func (m *Metrics) Ordered(kind oleanderspool.OrderKind, result string) {
	m.orders.WithLabelValues(string(kind), result).Inc()
}

// The parts of a KV cache transfer: the whole transfer, which the entry counts,
// and the export and the import, which each agent counts for itself.
const (
	TransferMove   = "move"
	TransferExport = "export"
	TransferImport = "import"
)

// Results of a part of a transfer, in addition to the reasons of failures.
const (
	TransferStarted = "begun"
	TransferDone    = "done"
)

// Transferred counts a part of a transfer. result is TransferBegun,
// TransferDone or the reason of a failure.
func (m *Metrics) Transferred(part, result string) {
	m.transfers.WithLabelValues(part, result).Inc()
}

// ObserveFirstToken records the time to first token of a prompt with that many
// tokens.
func (m *Metrics) ObserveFirstToken(tokens int, latency oleanderspool.Millis) {
	m.firstToken.WithLabelValues(LengthClass(tokens)).Observe(latency.Duration().Seconds())
}

// ObservePredictionError records the actual less the predicted time to first
// token of a prompt with that many tokens.
func (m *Metrics) ObservePredictionError(tokens int, predicted, actual oleanderspool.Millis) {
	m.predictionError.WithLabelValues(LengthClass(tokens)).Observe((actual - predicted).Duration().Seconds())
}

// Attempted counts a request that was sent to a backend server. outcome must be
// from a fixed set.
func (m *Metrics) Attempted(outcome string) {
	m.attempts.WithLabelValues(outcome).Inc()
}

// DeclareOverloadCauses makes the counters of the causes present at 0.
func (m *Metrics) DeclareOverloadCauses(causes ...string) {
	for _, c := range causes {
		m.unplaced.WithLabelValues(c)
	}
}

// RefusedForOverload counts a request that was refused because the backend servers are
// busy.
func (m *Metrics) RefusedForOverload(cause string) {
	m.unplaced.WithLabelValues(cause).Inc()
}

// ColdLimited counts backend servers that the request limit of a cold server excludes.
func (m *Metrics) ColdLimited(servers int) {
	m.coldLimited.Add(float64(servers))
}

// Directions of bytes between an entry and the backend servers.
const (
	DirectionSent     = "sent"
	DirectionReceived = "received"
)

// SentToDataCentre counts a request that was sent to a backend server, by whether that is
// in another data centre.
func (m *Metrics) SentToDataCentre(other bool) {
	m.dataCentreSends.WithLabelValues(dataCentreLabel(other)).Inc()
}

// ExchangedWithDataCentre counts bytes of a body that were exchanged with a backend server.
// direction is DirectionSent or DirectionReceived.
func (m *Metrics) ExchangedWithDataCentre(other bool, direction string, bytes int64) {
	m.dataCentreBytes.WithLabelValues(dataCentreLabel(other), direction).Add(float64(bytes))
}

func dataCentreLabel(other bool) string {
	if other {
		return "other"
	}
	return "own"
}

// SetRevision sets the revision of the configuration in force.
func (m *Metrics) SetRevision(r oleanderspool.Revision) {
	m.revision.Set(float64(r))
}

// SetEngineMemory sets the free and owned engine memory in tokens.
func (m *Metrics) SetEngineMemory(free, owned int64) {
	m.engineMemory.WithLabelValues("free").Set(float64(free))
	m.engineMemory.WithLabelValues("owned").Set(float64(owned))
}

func kindName(k oleanderspool.RequestKind) string {
	if k == oleanderspool.KindService {
		return "service"
	}
	return "model"
}
