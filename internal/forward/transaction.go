package forward

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/backend"
	"github.com/oleanderspool/oleanderspool/internal/buffer"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/placement"
	"github.com/oleanderspool/oleanderspool/internal/quarantine"
)

// transaction is a request in progress, from its arrival until its answer.
type transaction struct {
	gateway         *Gateway
	ctx             context.Context
	request         *http.Request
	call            oleanderspool.CallHeader
	snapshot        *directory.Snapshot
	route           directory.Route
	service         directory.Service
	account         directory.Account
	body            *buffer.Buffer
	upload          *upload // nil until the body is read
	received        bool    // the whole request has arrived
	subject         quarantine.Subject
	receivedAt      oleanderspool.Millis
	deadline        oleanderspool.Millis
	confirmationAge oleanderspool.Millis

	open      *attempt // the attempt in progress; nil for none
	sends     int      // number of backend servers that the request was sent to
	tried     []oleanderspool.InstanceID
	lastEvent string // id of the last event that the caller received
	committed bool   // the caller has received a part of the answer
	events    int    // number of events that the caller received
	// resubmitted says that the caller came back as told after a refusal.
	resubmitted bool
	// crashCheck is closed when the check of the last server that broke an attempt has
	// ended; nil for none.
	crashCheck <-chan struct{}
	// execution says whether the request may have run, over all attempts so
	// far.
	execution oleanderspool.Execution
}

// maxConnectFailures bounds the number of servers that are tried without
// the request reaching them.
const maxConnectFailures = 4

// remaining returns the time until the deadline of the request.
func (t *transaction) remaining() oleanderspool.Millis {
	return t.deadline - t.gateway.clock.Now()
}

// timeLimitRefusal returns the refusal of a request whose deadline has passed.
func (t *transaction) timeLimitRefusal() *oleanderspool.Refusal {
	return oleanderspool.Refuse(oleanderspool.RefusalTimeLimit, "the time limit passed").WithExecution(max(t.execution, oleanderspool.MayHaveRun))
}

// outcome is the result of an attempt.
type outcome int

const (
	// answered: the exchange holds the header of an answer of the server.
	answered outcome = iota
	// notSent: no byte reached the server.
	notSent
	// rejected: the server reports that it did not run the request.
	rejected
	// broken: the request may have run, but there is no usable answer.
	broken
	// retryable: the server failed, and the retry has been drawn from the
	// budget.
	retryable
)

var outcomeNames = [...]string{answered: "answered", notSent: "not_sent", rejected: "rejected", broken: "broken", retryable: "retryable"}

// String returns the name used in logs and metrics.
func (o outcome) String() string {
	return outcomeNames[o]
}

// attempt is one placement of a request.
type attempt struct {
	assignment
	exchange     *backend.Exchange // nil without an answer
	outcome      outcome
	timeout      attemptTimeout
	decoding     bool                 // the first event of a stream has arrived
	firstEventAt oleanderspool.Millis // 0 before the first event
	memory       *reservations        // nil when none is reserved
	send         *limitedSend         // nil without a limit
	received     int64                // bytes of the answer's body
}

// misdirected reports whether the answer came from another server than the one that
// the request was meant for.
func (a attempt) misdirected() bool {
	return a.exchange != nil && a.exchange.Answer.Status == http.StatusMisdirectedRequest
}

// close ends the exchange of an attempt and removes its tasks.
func (t *transaction) close(a attempt) {
	if a.exchange != nil {
		a.exchange.Close()
	}
	if a.memory != nil {
		go t.gateway.guard.Run("release", a.memory.release)
	}
	t.gateway.metrics.ExchangedWithDataCentre(t.leavesDataCentre(a), observe.DirectionReceived, a.received)
	t.gateway.shared.endTasks(a.assignment)
	t.open = nil
}

// leavesDataCentre reports whether an attempt is sent to another data centre.
func (t *transaction) leavesDataCentre(a attempt) bool {
	return a.Server.DataCentre != t.gateway.dataCentre
}

// recoverPanic ends a request whose processing panics. The caller gets no complete
// answer; its server, memory and tasks are released.
func (t *transaction) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	if t.open != nil {
		t.close(*t.open)
	}
	if err, _ := p.(error); !errors.Is(err, http.ErrAbortHandler) {
		t.gateway.logger.Error("request aborted", "request_id", t.call.ID, "route", t.route.Name, "sends", t.sends, "cause", "panic")
		t.gateway.guard.Record("request", p)
	}
	panic(http.ErrAbortHandler)
}

// placementRequest returns the properties of the request that the placement
// depends on.
func (t *transaction) placementRequest() placement.Request {
	answer := t.call.AnswerTokensHint
	if answer == 0 || t.call.MaxAnswerTokens > 0 && answer > t.call.MaxAnswerTokens {
		answer = t.call.MaxAnswerTokens
	}
	resubmitted, age := t.gateway.shared.refusedBefore(t.subject.Request)
	return placement.Request{
		PromptTokens: t.call.PromptTokens, OutputTokens: answer, TTFTGoal: t.route.TTFTGoal, InterTokenGoal: t.route.InterTokenGoal,
		CallerTimeout: t.remaining(), DataCentre: t.gateway.dataCentre, Tried: t.tried,
		Rank: t.rank(), Account: t.account.Name,
		Resubmitted: resubmitted && age >= minRetryAfter, Overdue: resubmitted && t.route.TTFTGoal > 0 && age > t.route.TTFTGoal, Started: t.execution != oleanderspool.NotRun,
	}
}

// try places the request and sends it once. It reports false when no server is
// left, or when it is too late in a planned stop to send the request for the first time.
func (t *transaction) try(ctx context.Context) (attempt, bool) {
	if t.execution == oleanderspool.NotRun && t.gateway.refusesNew() {
		return attempt{}, false
	}
	t.snapshot = t.gateway.view.Snapshot()
	request := t.placementRequest()
	t.resubmitted = request.Resubmitted
	as, found := t.gateway.shared.place(t.snapshot, t.service, request)
	t.recordContention(as)
	t.recordLimited(as)
	if !found {
		return attempt{assignment: as}, false
	}
	a := attempt{assignment: as, send: newLimitedSend(as)}
	t.open = &attempt{assignment: as}
	if a.send != nil {
		defer func() { t.gateway.shared.endSend(a) }()
	}
	t.logPlaced(ctx, as)
	forwarded := oleanderspool.ForwardHeader{
		Instance: as.Server.Instance, Account: t.account.Name, Remaining: max(1, t.remaining()),
		Priority: t.priority(), LastEventID: t.lastEvent,
	}
	for i, h := range as.Helpers {
		helper := oleanderspool.Helper{Address: h.Server.Address}
		if h.ReservedTokens > 0 {
			helper.Reservation = reservationID(as.ids[i+1])
		}
		forwarded.Helpers = append(forwarded.Helpers, helper)
	}
	if as.reserves() {
		memory, failed := t.gateway.reserve(ctx, as)
		if memory == nil {
			a.outcome = notSent
			t.gateway.shared.recordFailure(failed.Instance)
			t.tried = append(t.tried, failed.Instance)
			t.gateway.logger.Warn("attempt failed", "request_id", t.call.ID, "instance", failed.Instance, "outcome", a.outcome.String(),
				"error", "no memory reserved", "sends", t.sends)
			return a, true
		}
		a.memory, t.open.memory = memory, memory
	}
	if dc, evacuated := t.evacuated(as); evacuated {
		// The servers remain eligible for another attempt, in case the evacuation ends.
		a.outcome = notSent
		t.gateway.logger.Info("attempt not sent", "request_id", t.call.ID, "instance", as.Server.Instance, "cause", "evacuated", "data_centre", dc, "sends", t.sends)
		return a, true
	}
	if t.gateway.shared.excluded(as.Server.Run()) {
		// The server has said so since it was chosen, for example while memory was reserved.
		a.outcome = notSent
		t.tried = append(t.tried, as.Server.Instance)
		t.gateway.logger.Info("attempt not sent", "request_id", t.call.ID, "instance", as.Server.Instance, "cause", "excluded", "sends", t.sends)
		return a, true
	}
	q := backend.Request{
		Method: t.request.Method, Target: t.request.RequestURI, Host: t.request.Host,
		Header: t.gateway.format.EncodeForwardHeader(t.request.Header, forwarded),
		Body:   t.body.Bytes(), ID: t.call.ID, NonIdempotent: !t.route.Repeatable(),
	}
	if a.send != nil {
		q.Confirm = func() bool { return t.gateway.shared.confirmSend(a.send) }
	}
	exchange, err := t.gateway.pool.Do(ctx, as.Server, q, t.gateway.format)
	if a.send != nil && a.send.withdrawn {
		t.recordWithdrawn(&a)
		return a, true
	}
	a.exchange, t.open.exchange = exchange, exchange
	a.outcome = t.classify(a, err)
	t.recordAttempt(ctx, a, err)
	return a, true
}

// logPlaced logs a placement with its inputs. The line of each request has typed
// attributes, which unlike those of [slog.Logger.Info] need no allocation each.
func (t *transaction) logPlaced(ctx context.Context, as assignment) {
	t.gateway.logger.LogAttrs(ctx, slog.LevelInfo, "placed",
		slog.String("request_id", string(t.call.ID)), slog.String("route", t.route.Name), slog.String("instance", string(as.Server.Instance)),
		slog.Int64("prompt", t.call.PromptTokens), slog.Any("helpers", as.helpers()), slog.Int64("predicted_ms", int64(as.TTFT)),
		slog.Float64("cost", as.Cost), slog.Int64("backlog_ms", int64(as.Backlog)), slog.Int("writers", as.ActiveStreams),
		slog.String("data_centre", string(as.Server.DataCentre)), slog.String("crossing", string(as.Crossing)), slog.Float64("delay_ms", as.Delay),
		slog.Int("sends", t.sends), slog.Int64("version", t.snapshot.Configuration.Version),
		slog.Int64("confirmed_ms", int64(t.confirmationAge)), slog.Int64("left_ms", int64(t.remaining())),
		slog.Int64("load_ms", int64(as.MeanBacklog)), slog.Bool("resubmitted", t.resubmitted), lossesAttribute(as.Losses))
}

// lossesAttribute returns the parts of a cost as a group, which is left out of the line if
// they are unknown.
func lossesAttribute(l placement.Losses) slog.Attr {
	if l == (placement.Losses{}) {
		return slog.Group("losses")
	}
	return slog.Group("losses", "own", l.Own, "streams", l.Streams, "delayed", l.Delayed, "prefill", l.Prefill)
}

// evacuated returns a data centre of a placement that has been evacuated since, for
// example while memory was reserved.
func (t *transaction) evacuated(as assignment) (oleanderspool.DataCentreID, bool) {
	s := t.gateway.view.Snapshot()
	if s.IsEvacuated(as.Server.DataCentre) {
		return as.Server.DataCentre, true
	}
	for _, h := range as.Helpers {
		if s.IsEvacuated(h.Server.DataCentre) {
			return h.Server.DataCentre, true
		}
	}
	return "", false
}

func (t *transaction) classify(a attempt, err error) outcome {
	switch {
	case err == nil && a.exchange.Answer.NotRun:
		return rejected
	case err == nil:
		return answered
	case errorx.IsOfType(err, oleanderspool.ErrNotSent):
		return notSent
	default:
		return broken
	}
}

const (
	// urgentGoal bounds the goal for the time to first token (TTFT) of an
	// urgent request, which precedes others of the same rank.
	urgentGoal = 500 * oleanderspool.Millis(1)
	// lowestPriority is the lowest priority at a backend server.
	lowestPriority = 9
)

// priority returns the priority at a backend server, where 0 is the highest:
// by the rank of the client account, or else of the route, and within a rank
// requests with a short goal first. It returns -1 for a service without an
// engine.
func (t *transaction) priority() int {
	if t.service.Engine == nil {
		return -1
	}
	priority := 2 * max(0, t.rank())
	if t.route.TTFTGoal == 0 || t.route.TTFTGoal > urgentGoal {
		priority++
	}
	return min(priority, lowestPriority)
}

// rank returns the rank of the client account, or else of the route.
func (t *transaction) rank() int {
	if t.account.HasPriority {
		return t.account.Priority
	}
	return t.route.Priority
}

// recordAttempt counts and logs an attempt and records what it shows about the
// server.
func (t *transaction) recordAttempt(ctx context.Context, a attempt, err error) {
	t.tried = append(t.tried, a.Server.Instance)
	t.gateway.metrics.Attempted(a.outcome.String())
	if a.outcome != notSent {
		t.sends++
		t.gateway.metrics.SentToDataCentre(t.leavesDataCentre(a))
		t.gateway.metrics.ExchangedWithDataCentre(t.leavesDataCentre(a), observe.DirectionSent, int64(t.body.Len()))
	}
	if a.outcome == answered {
		t.execution = oleanderspool.MayHaveRun
		return
	}
	if a.outcome == broken {
		t.execution = oleanderspool.MayHaveRun
	}
	if t.ctx.Err() != nil {
		return // the caller closed the connection or the deadline passed
	}
	t.gateway.shared.recordFailure(t.failedServer(a))
	if a.outcome != rejected {
		t.gateway.shared.recordLinkFailure(a.assignment)
	}
	text := ""
	if err != nil {
		text = err.Error()
	}
	status := 0
	if a.exchange != nil {
		status = a.exchange.Answer.Status
	}
	t.gateway.logger.Warn("attempt failed", "request_id", t.call.ID, "instance", a.Server.Instance, "outcome", a.outcome.String(),
		"status", status, "error", text, "sends", t.sends, "age_ms", int64(t.gateway.clock.Now()-t.receivedAt))
	if a.outcome == broken && ctx.Err() == nil {
		t.checkForCrash(a)
	}
}

// recordExhausted records that something of a request found no room in memory.
func (t *transaction) recordExhausted(part string, err error) {
	t.gateway.metrics.StateChanged("buffer_memory_exhausted")
	const message = "buffer memory exhausted"
	if t.gateway.lines.Allow(message) {
		t.gateway.logger.Warn(message, "request_id", t.call.ID, "part", part, "error", err.Error())
	}
}

// failedServer returns the server to which a failed attempt is attributed: the
// helper that its answer names, or else the server that it was sent to.
func (t *transaction) failedServer(a attempt) oleanderspool.InstanceID {
	if a.exchange != nil && a.exchange.Answer.FaultyServer != "" {
		for _, h := range a.Helpers {
			if fault := a.exchange.Answer.FaultyServer; string(h.Server.Instance) == fault || h.Server.Address == fault {
				return h.Server.Instance
			}
		}
	}
	return a.Server.Instance
}

// checkForCrash checks in the background whether a server crashed with the
// request in flight.
func (t *transaction) checkForCrash(a attempt) {
	s := a.Server
	t.gateway.pool.CloseIdle(s)
	events := t.events
	c := quarantine.Crash{Server: s.Run(), Subject: quarantine.Subject{Request: t.subject.Request}, At: t.gateway.clock.Now()}
	c.Beginning = !a.decoding || c.At-a.firstEventAt < beginningDuration
	done := make(chan struct{})
	t.crashCheck = done
	go t.gateway.guard.Run("crash check", func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), crashCheckTimeout.Duration())
		defer cancel()
		state := t.gateway.pool.Probe(ctx, s)
		if state == backend.Listening {
			return
		}
		if c.Beginning && state == backend.NotListening {
			c.Parts = t.subject.Parts
		}
		n := t.gateway.shared.recordCrash(c)
		t.gateway.logger.Warn("server crashed", "request_id", t.call.ID, "instance", s.Instance, "fingerprint", uint64(t.subject.Request),
			"parts", t.call.SharedParts, "beginning", c.Beginning, "refuses_connections", state == backend.NotListening, "events", events,
			"started", s.Started, "age_ms", int64(t.gateway.clock.Now()-t.receivedAt), "crashes", n)
	})
}

const (
	// crashCheckTimeout bounds the check whether a server still accepts
	// connections.
	crashCheckTimeout = 500 * oleanderspool.Millis(1)
	// crashCheckWait is how long a retry waits for the check, so that a request that
	// crashes servers is not sent to another one. A machine answers within one round
	// trip that no process listens.
	crashCheckWait = 30 * oleanderspool.Millis(1)
)

// awaitCrashCheck waits for the check that follows a broken attempt.
func (t *transaction) awaitCrashCheck() {
	if t.crashCheck == nil {
		return
	}
	timer := time.NewTimer(crashCheckWait.Duration())
	defer timer.Stop()
	select {
	case <-t.crashCheck:
	case <-timer.C:
	case <-t.ctx.Done():
	}
	t.crashCheck = nil
}

// claimRetry reports whether the request may be sent to another server after an
// attempt, and draws a retry from the budget unless the attempt was not sent.
func (t *transaction) claimRetry(a attempt) bool {
	t.awaitCrashCheck()
	if t.ctx.Err() != nil || t.remaining() <= 0 || !t.gateway.shared.mayRetry(t.subject) {
		return false
	}
	if a.outcome == notSent {
		return len(t.tried)-t.sends < maxConnectFailures
	}
	if a.outcome != rejected && !t.route.Repeatable() {
		return false
	}
	if t.sends >= t.route.Attempts && !t.mayReplaceRejection(a) {
		return false
	}
	return t.gateway.shared.takeRetry(t.service.Name)
}

// mayReplaceRejection reports whether a rejected attempt at a stream that the
// caller already has in part may be replaced beyond the usual number of
// attempts. Otherwise the stream would be aborted although a server could
// finish it. A request without a part of an answer is refused instead, and its
// caller retries.
func (t *transaction) mayReplaceRejection(a attempt) bool {
	return a.outcome == rejected && t.committed && t.sends < 2*t.route.Attempts
}

// unplacedRefusal returns the refusal of a request for which no server was
// chosen.
func (t *transaction) unplacedRefusal(a attempt) *oleanderspool.Refusal {
	if a.Refused != "" {
		return t.overloadRefusal(a.assignment)
	}
	if a.limit.untried && t.execution == oleanderspool.NotRun {
		return t.coldLimitRefusal(a.assignment)
	}
	if a.availableIn > 0 && t.execution == oleanderspool.NotRun {
		t.gateway.shared.recordRefusal(t.subject.Request)
		return oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "each backend server asked for time").WithRetryAfter(a.availableIn + rand.N(meanRetryAfter))
	}
	if t.snapshot.AllEvacuated(t.service.Name) {
		t.gateway.logger.Info("all servers evacuated", "request_id", t.call.ID, "service", t.service.Name, "evacuated", t.snapshot.Evacuated(),
			"execution", t.execution.String(), "sends", t.sends)
	}
	return t.failureRefusal()
}

// overloadRefusal returns the refusal of a request for which the servers have
// no capacity in time.
func (t *transaction) overloadRefusal(as assignment) *oleanderspool.Refusal {
	t.gateway.logger.Info("not placed", "request_id", t.call.ID, "prompt", t.call.PromptTokens, "cost", as.Cost, "load_ms", int64(as.MeanBacklog), "predicted_ms", int64(as.TTFT),
		"wait_ms", int64(as.Wait), "cause", string(as.Refused), "rank", t.rank(), "slots", as.Contention.Slots, "free", as.Contention.Free, "contended_ms", int64(as.ReturnDelay),
		"helpers", len(as.Helpers), "resubmitted", t.resubmitted, lossesAttribute(as.Losses))
	t.gateway.metrics.RefusedForOverload(string(as.Refused))
	t.gateway.shared.recordRefusal(t.subject.Request)
	retryAfter := jitter(max(meanRetryAfter, min(max(as.MeanBacklog, as.ReturnDelay), t.remaining()/retryAfterDivisor)))
	retryAfter = max(minRetryAfter, min(retryAfter, t.remaining()/maxRetryAfterDivisor))
	return oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "the backend servers are busy").WithRetryAfter(retryAfter)
}

// recordContention logs and counts when requests begin or cease to contend for the slots
// of a service.
func (t *transaction) recordContention(as assignment) {
	if !as.Contention.Changed {
		return
	}
	change := "slot_contention_ended"
	if as.Contention.Lasts {
		change = "slot_contention_began"
	}
	t.gateway.metrics.StateChanged(change)
	t.gateway.logger.Info("contention for slots", "service", t.service.Name, "goal_ms", int64(t.route.TTFTGoal), "lasts", as.Contention.Lasts,
		"slots", as.Contention.Slots, "free", as.Contention.Free)
}

// retryAfterDivisor bounds the retry delay: the remaining time is divided by
// it, so that the retry can still end in time.
const retryAfterDivisor = 4

const (
	// maxRetryAfterDivisor bounds the delay after it was spread by chance. Callers do not
	// wait for more than a third of the time that they have left.
	maxRetryAfterDivisor = 3
	// minRetryAfter is the shortest delay after an overload. A caller that comes back
	// sooner is treated like a new one.
	minRetryAfter = meanRetryAfter / 2
)

// failureRefusal returns the refusal after the last attempt.
func (t *transaction) failureRefusal() *oleanderspool.Refusal {
	switch {
	case t.remaining() <= 0:
		return t.timeLimitRefusal()
	case t.execution == oleanderspool.NotRun && t.gateway.refusesNew():
		return t.gateway.stoppingRefusal()
	case t.gateway.ended.Err() != nil:
		return oleanderspool.Refuse(oleanderspool.RefusalStopping, "the entry stopped before the answer was complete").WithExecution(t.execution)
	case t.execution == oleanderspool.NotRun && t.snapshot.AllEvacuated(t.service.Name):
		return t.gateway.unavailableRefusal(oleanderspool.RefusalNoBackendServer, "all backend servers are in evacuated data centres")
	case t.execution == oleanderspool.NotRun:
		return t.gateway.unavailableRefusal(oleanderspool.RefusalNoBackendServer, "no backend server accepted the request")
	default:
		return oleanderspool.Refuse(oleanderspool.RefusalBackendServerFailed, "the backend server failed").WithExecution(t.execution)
	}
}

// statuses maps the reasons whose status does not depend on whether the
// request may have run.
var statuses = map[oleanderspool.RefusalReason]int{
	oleanderspool.RefusalUnknownRoute:   http.StatusNotFound,
	oleanderspool.RefusalUnknownAccount: http.StatusUnauthorized,
	oleanderspool.RefusalBodyTooLarge:   http.StatusRequestEntityTooLarge,
	oleanderspool.RefusalHeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	oleanderspool.RefusalBadRequest:     http.StatusBadRequest,
	oleanderspool.RefusalTimeLimit:      http.StatusGatewayTimeout,
	oleanderspool.RefusalSlowSender:     http.StatusRequestTimeout,
}

func statusOf(r *oleanderspool.Refusal) int {
	if status, found := statuses[r.Reason]; found {
		return status
	}
	if r.Execution == oleanderspool.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// refuse sends the caller the entry's own answer, also one that has only closed its
// sending side.
func (g *Gateway) refuse(w *callerAnswer, t *transaction, r *oleanderspool.Refusal) {
	status := statusOf(r)
	if t.callerClosed() {
		t.logCallerClosed(context.Canceled)
	} else {
		g.recordRefused(t, r, status)
	}
	if r.Reason == oleanderspool.RefusalLogUnavailable {
		// Later requests on the connection would be refused too; the load balancer gives
		// the caller another entry.
		w.Header().Set("Connection", "close")
	}
	for name, values := range g.format.EncodeRefusalHeader(t.call.ID, r.RetryAfter) {
		w.Header()[name] = values
	}
	body, err := json.Marshal(map[string]string{"error": r.Message, "reason": string(r.Reason), "execution": r.Execution.String()})
	if err != nil {
		panic(err) // strings always encode
	}
	w.Header().Set("Content-Type", "application/json")
	if !t.received && t.request.ContentLength != 0 {
		w.abandonBody(r.Reason)
	}
	w.limitWrites(ownAnswerTimeout)
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that closed the connection needs no answer
	w.finish()
}

// callerClosed reports whether the caller has closed its connection, or its sending
// side, after the whole request had arrived. Before that, net/http also ends the context
// of a request whose body is late.
func (t *transaction) callerClosed() bool {
	return t.received && t.request.Context().Err() != nil
}

// recordRefused counts and logs a refusal.
func (g *Gateway) recordRefused(t *transaction, r *oleanderspool.Refusal, status int) {
	g.metrics.Refused(r)
	const message = "refused"
	if !g.lines.Allow(message) {
		return
	}
	g.logger.Info(message, "request_id", t.call.ID, "reason", string(r.Reason), "execution", r.Execution.String(), "status", status,
		"retry_after_ms", int64(r.RetryAfter), "route", t.route.Name, "parts", t.call.SharedParts, "sends", t.sends,
		"age_ms", int64(g.clock.Now()-t.receivedAt), "confirmed_ms", int64(t.confirmationAge))
}
