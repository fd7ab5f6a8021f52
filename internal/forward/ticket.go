package forward

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/backend"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

// ticket is a request in progress.
type ticket struct {
	g            *Gateway
	ctx          context.Context
	request      *http.Request
	call         oleanderspool.Call
	snapshot     *directory.Snapshot
	route        directory.Route
	service      directory.Service
	account      directory.Account
	body         []byte
	fingerprint  oleanderspool.Fingerprint
	receivedAt   oleanderspool.Millis
	endsAt       oleanderspool.Millis
	confirmedAge oleanderspool.Millis

	sends     int // backend servers that the request was sent to
	tried     []oleanderspool.InstanceID
	lastEvent string // id of the last event that the caller has
	committed bool   // the caller has a part of the answer
	// execution is what is certain about all attempts so far.
	execution oleanderspool.Execution
}

// maxConnects bounds the servers to which no connection could be made.
const maxConnects = 4

// remaining returns the span until the request ends.
func (t *ticket) remaining() oleanderspool.Millis {
	return t.endsAt - t.g.clock.Now()
}

// late is the refusal at the end of the request's time.
func (t *ticket) late() *oleanderspool.Refusal {
	return oleanderspool.Refuse(oleanderspool.RefusalTimeLimit, "the time limit passed").WithExecution(max(t.execution, oleanderspool.MayHaveRun))
}

// outcome tells what became of an attempt.
type outcome int

const (
	// answered: the exchange holds the header of an answer of the server.
	answered outcome = iota
	// notSent: no byte reached the server.
	notSent
	// rejected: the server says that it did not run the request.
	rejected
	// broken: the request may have run, and there is no answer.
	broken
	// retryable: the server failed, and the retry is drawn from the budget.
	retryable
)

var outcomeNames = [...]string{answered: "answered", notSent: "not_sent", rejected: "rejected", broken: "broken", retryable: "retryable"}

// String returns the name used in logs.
func (o outcome) String() string {
	return outcomeNames[o]
}

// attempt is one placement of a request.
type attempt struct {
	placed
	exchange *backend.Exchange // nil without an answer
	outcome  outcome
	limit    attemptLimit
	writing  bool          // the first event of a stream has come
	memory   *reservations // nil without any
}

// close ends the exchange and the work of an attempt.
func (t *ticket) close(a attempt) {
	if a.exchange != nil {
		a.exchange.Close()
	}
	if a.memory != nil {
		go a.memory.release()
	}
	t.g.shared.end(a.placed)
}

// load returns what the placement needs to know of the request.
func (t *ticket) load() placement.Request {
	answer := t.call.AnswerHint
	if answer == 0 || t.call.AnswerTokens > 0 && answer > t.call.AnswerTokens {
		answer = t.call.AnswerTokens
	}
	return placement.Request{
		PromptTokens: t.call.PromptTokens, OutputTokens: answer, TTFTGoal: t.route.TTFTGoal, InterTokenGoal: t.route.InterTokenGoal,
		CallerTimeout: t.remaining(), DataCentre: t.g.dataCentre, Tried: t.tried,
		Resubmitted: t.g.shared.returned(t.fingerprint), Started: t.execution != oleanderspool.NotRun,
	}
}

// try places the request and sends it once. It reports false when no server is
// left.
func (t *ticket) try(ctx context.Context) (attempt, bool) {
	t.snapshot = t.g.view.Snapshot()
	p, found := t.g.shared.place(t.snapshot.Servers(t.service.Name), t.service.Engine, t.load())
	if !found {
		return attempt{placed: p}, false
	}
	a := attempt{placed: p}
	t.g.logger.Info("placed", "request_id", t.call.ID, "route", t.route.Name, "instance", p.Server.Instance, "prompt", t.call.PromptTokens,
		"helpers", p.helpers(), "predicted_ms", int64(p.TTFT), "cost", p.Cost, "backlog_ms", int64(p.Backlog), "writers", p.ActiveStreams,
		"sends", t.sends, "version", t.snapshot.Configuration.Version, "confirmed_ms", int64(t.confirmedAge), "left_ms", int64(t.remaining()))
	forwarded := oleanderspool.Forwarded{
		Instance: p.Server.Instance, Account: t.account.Name, Remaining: max(1, t.remaining()),
		Priority: t.priority(), LastEvent: t.lastEvent,
	}
	for i, h := range p.Helpers {
		helper := oleanderspool.Helper{Address: h.Server.Address}
		if h.ReservedTokens > 0 {
			helper.Reservation = reservationID(p.ids[i+1])
		}
		forwarded.Helpers = append(forwarded.Helpers, helper)
	}
	if p.reserves() {
		memory, failed := t.g.reserve(ctx, p)
		if memory == nil {
			a.outcome = notSent
			t.g.shared.avoid(failed.Instance)
			t.tried = append(t.tried, failed.Instance)
			t.g.logger.Warn("attempt failed", "request_id", t.call.ID, "instance", failed.Instance, "outcome", a.outcome.String(),
				"error", "no memory reserved", "sends", t.sends)
			return a, true
		}
		a.memory = memory
	}
	exchange, err := t.g.pool.Do(ctx, p.Server, backend.Request{
		Method: t.request.Method, Target: t.request.RequestURI, Host: t.request.Host,
		Header: t.g.format.EncodeForwarded(t.request.Header, forwarded),
		Body:   t.body, ID: t.call.ID, Once: !t.route.Repeatable(),
	}, t.g.format)
	a.exchange = exchange
	a.outcome = t.classify(a, err)
	t.note(ctx, a, err)
	return a, true
}

func (t *ticket) classify(a attempt, err error) outcome {
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
	// urgentGoal is the time to the first token up to which a request goes before
	// others of its rank.
	urgentGoal = 500 * oleanderspool.Millis(1)
	// lowestPriority is the last priority at a backend server.
	lowestPriority = 9
)

// priority returns the priority at a backend server, 0 first: by the rank of the
// client account or else of the route, and short requests before long ones.
func (t *ticket) priority() int {
	if t.service.Engine == nil {
		return -1
	}
	rank := t.route.Priority
	if t.account.HasPriority {
		rank = t.account.Priority
	}
	priority := 2 * max(0, rank)
	if t.route.TTFTGoal == 0 || t.route.TTFTGoal > urgentGoal {
		priority++
	}
	return min(priority, lowestPriority)
}

// note counts and logs an attempt and remembers what it says about the server.
func (t *ticket) note(ctx context.Context, a attempt, err error) {
	t.tried = append(t.tried, a.Server.Instance)
	t.g.metrics.Attempted(a.outcome.String())
	if a.outcome != notSent {
		t.sends++
	}
	if a.outcome == answered {
		t.execution = oleanderspool.MayHaveRun
		return
	}
	if a.outcome == broken {
		t.execution = oleanderspool.MayHaveRun
	}
	if t.ctx.Err() != nil {
		return // the caller left or the time passed
	}
	t.g.shared.avoid(t.atFault(a))
	text := ""
	if err != nil {
		text = err.Error()
	}
	status := 0
	if a.exchange != nil {
		status = a.exchange.Answer.Status
	}
	t.g.logger.Warn("attempt failed", "request_id", t.call.ID, "instance", a.Server.Instance, "outcome", a.outcome.String(),
		"status", status, "error", text, "sends", t.sends, "age_ms", int64(t.g.clock.Now()-t.receivedAt))
	if a.outcome == broken && ctx.Err() == nil {
		t.suspect(a.Server)
	}
}

// atFault returns the server that a failed attempt is put down to: the one that
// its answer names, or the one that it was sent to.
func (t *ticket) atFault(a attempt) oleanderspool.InstanceID {
	if a.exchange != nil && a.exchange.Answer.Fault != "" {
		for _, h := range a.Helpers {
			if fault := a.exchange.Answer.Fault; string(h.Server.Instance) == fault || h.Server.Address == fault {
				return h.Server.Instance
			}
		}
	}
	return a.Server.Instance
}

// suspect checks whether a server crashed with the request in flight.
func (t *ticket) suspect(s directory.Server) {
	t.g.pool.Drop(s)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), crashCheckTimeout.Duration())
		defer cancel()
		if t.g.pool.Alive(ctx, s) {
			return
		}
		n := t.g.shared.crashed(t.fingerprint, s.Instance)
		t.g.logger.Warn("server crashed", "request_id", t.call.ID, "instance", s.Instance, "fingerprint", uint64(t.fingerprint), "crashes", n)
	}()
}

// crashCheckTimeout bounds the check whether a server still accepts
// connections.
const crashCheckTimeout = 500 * oleanderspool.Millis(1)

// again reports whether the request may be sent to another server after an
// attempt.
func (t *ticket) again(a attempt) bool {
	if t.ctx.Err() != nil || t.remaining() <= 0 || t.g.shared.crashCount(t.fingerprint) >= blockAfter {
		return false
	}
	if a.outcome == notSent {
		return len(t.tried)-t.sends < maxConnects
	}
	if a.outcome != rejected && !t.route.Repeatable() {
		return false
	}
	if t.sends >= t.route.Attempts && !t.mayReplaceRejection(a) {
		return false
	}
	return t.g.shared.takeRetry(t.service.Name)
}

// mayReplaceRejection reports whether a stream that its caller has in part may go
// to one more server in place of one that did not run it. Otherwise the stream
// would be broken off although a server can finish it. A request without an
// answer is refused instead, and its caller comes back.
func (t *ticket) mayReplaceRejection(a attempt) bool {
	return a.outcome == rejected && t.committed && t.sends < 2*t.route.Attempts
}

// unplaced is the refusal of a request for which no server was chosen.
func (t *ticket) unplaced(a attempt) *oleanderspool.Refusal {
	if a.Refuse {
		return t.overloaded(a.placed)
	}
	return t.failure()
}

// overloaded is the refusal of a request that the servers have no time for.
func (t *ticket) overloaded(p placed) *oleanderspool.Refusal {
	t.g.logger.Info("not placed", "request_id", t.call.ID, "prompt", t.call.PromptTokens, "cost", p.Cost, "load_ms", int64(p.MeanBacklog), "predicted_ms", int64(p.TTFT))
	t.g.shared.askBack(t.fingerprint)
	back := jitter(max(comeBack, min(p.MeanBacklog, t.remaining()/comeBackShare)))
	return oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "the backend servers are busy").WithRetryAfter(back)
}

// comeBackShare is the part of its time after which a refused caller comes back
// at the latest, so that a second try can still end in time.
const comeBackShare = 4

// failure is the refusal after the last attempt.
func (t *ticket) failure() *oleanderspool.Refusal {
	switch {
	case t.remaining() <= 0:
		return t.late()
	case t.execution == oleanderspool.NotRun:
		return t.g.unavailable(oleanderspool.RefusalNoBackendServer, "no backend server accepted the request")
	default:
		return oleanderspool.Refuse(oleanderspool.RefusalBackendServerFailed, "the backend server failed").WithExecution(t.execution)
	}
}

// statuses of refusals that are not decided by what is certain about the run.
var statuses = map[oleanderspool.RefusalReason]int{
	oleanderspool.RefusalUnknownRoute:   http.StatusNotFound,
	oleanderspool.RefusalUnknownAccount: http.StatusUnauthorized,
	oleanderspool.RefusalBodyTooLarge:   http.StatusRequestEntityTooLarge,
	oleanderspool.RefusalHeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	oleanderspool.RefusalBadRequest:     http.StatusBadRequest,
	oleanderspool.RefusalTimeLimit:      http.StatusGatewayTimeout,
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

// refuse gives the caller the entry's own answer.
func (g *Gateway) refuse(w http.ResponseWriter, t *ticket, r *oleanderspool.Refusal) {
	if t.request.Context().Err() != nil {
		g.logger.Info("caller left", "request_id", t.call.ID, "age_ms", int64(g.clock.Now()-t.receivedAt), "sends", t.sends)
		return
	}
	status := statusOf(r)
	g.metrics.Refused(r)
	g.logger.Info("refused", "request_id", t.call.ID, "reason", string(r.Reason), "execution", r.Execution.String(), "status", status,
		"retry_after_ms", int64(r.RetryAfter), "route", t.route.Name, "sends", t.sends,
		"age_ms", int64(g.clock.Now()-t.receivedAt), "confirmed_ms", int64(t.confirmedAge))
	for name, values := range g.format.EncodeRefusal(t.call.ID, r.RetryAfter) {
		w.Header()[name] = values
	}
	body, err := json.Marshal(map[string]string{"error": r.Message, "reason": string(r.Reason), "execution": r.Execution.String()})
	if err != nil {
		panic(err) // strings always encode
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has left needs no answer
}
