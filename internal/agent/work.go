package agent

import (
	"context"
	"errors"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/memory"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/queue"
)

// accept adds a call to the attempt table and starts its work. It returns a
// failure if the call is not accepted.
func (a *Agent) accept(call peer.RunCall) *peer.Failure {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if a.leaving {
		return a.decline(call, oleanderspool.Refuse(oleanderspool.RefusalStopping, "the backend server is leaving").
			WithRetry(oleanderspool.RetryLeaving))
	}
	if call.Revision > a.configuration.Revision() {
		return a.decline(call, oleanderspool.Refuse(oleanderspool.RefusalNoBackendServer, "the agent's configuration is behind").
			WithRetry(oleanderspool.RetryBehindConfiguration))
	}
	if id, ok := a.unreadAttempt(call); ok {
		return a.redirect(call, id)
	}
	state, ok := a.attempts.Start(attempt.Start{
		Attempt:     call.Attempt,
		Request:     call.Request.ID,
		Incarnation: call.Incarnation,
		Idempotent:  call.Request.Idempotent,
		Remaining:   call.Request.Remaining(now),
	}, now)
	if !ok {
		return failureOf(call.Attempt, attempt.Reply{State: state})
	}
	a.calls[call.Attempt] = call
	if resumable(call) {
		a.byFingerprint[call.Request.Fingerprint] = call.Attempt
	}
	a.running++
	a.metrics.Admitted(call.Request.Kind)
	if refusal := a.startWork(call, now); refusal != nil {
		a.failAttempt(call.Attempt, refusal)
		a.attempts.Detach(call.Attempt, now)
		return &peer.Failure{Attempt: call.Attempt, State: attempt.StateBarred.String(), Refusal: *refusal}
	}
	return nil
}

// unreadAttempt returns an attempt that runs the same prompt and has no reader,
// because the entry of its caller died. A caller that resends its prompt then
// gets the running answer instead of a second run.
func (a *Agent) unreadAttempt(call peer.RunCall) (oleanderspool.AttemptID, bool) {
	id, ok := a.byFingerprint[call.Request.Fingerprint]
	if !ok || !resumable(call) || a.calls[id].Request.MaxTokens != call.Request.MaxTokens {
		return "", false
	}
	_, read := a.readers[id]
	return id, !read
}

// resumable reports whether the attempt generates the whole answer of a prompt,
// so that another caller of the same prompt can read it.
func resumable(call peer.RunCall) bool {
	r := call.Request
	return r.Kind == oleanderspool.KindModel && r.Idempotent && r.GeneratedText == "" && !call.Trial && call.Group == "" && !call.Imported
}

// redirect bars the attempt of the call and refers the caller to a running
// attempt.
func (a *Agent) redirect(call peer.RunCall, id oleanderspool.AttemptID) *peer.Failure {
	a.attempts.Bar(call.Attempt, call.Incarnation, a.clock.Now())
	a.metrics.StateChanged("attempt_resumed")
	return &peer.Failure{
		Attempt: id,
		Request: a.calls[id].Request.ID,
		State:   attempt.StateRunning.String(),
		Refusal: oleanderspool.Refusal{
			Reason:    oleanderspool.RefusalBackendServerFailed,
			Execution: oleanderspool.MayHaveRun,
			Message:   "another attempt runs the request",
		},
	}
}

// decline refuses an attempt and bars it, so that a repeated message does not run
// it later.
func (a *Agent) decline(call peer.RunCall, refusal *oleanderspool.Refusal) *peer.Failure {
	state := a.attempts.Bar(call.Attempt, call.Incarnation, a.clock.Now())
	if state != attempt.StateBarred {
		return failureOf(call.Attempt, attempt.Reply{State: state})
	}
	a.metrics.Refused(refusal)
	return &peer.Failure{Attempt: call.Attempt, State: state.String(), Refusal: *refusal}
}

// startWork queues an accepted attempt or starts its service call. It returns a
// refusal if it cannot.
func (a *Agent) startWork(call peer.RunCall, now oleanderspool.Millis) *oleanderspool.Refusal {
	if call.Request.Kind == oleanderspool.KindService {
		return a.startServiceCall(call)
	}
	if a.engine == nil || !a.engineUp {
		return oleanderspool.Refuse(oleanderspool.RefusalNoBackendServer, "the engine is not available").
			WithRetry(oleanderspool.RetryConnectFailed)
	}
	artefact, ok := a.planner.Acquire(call.Request.Model, call.Request.Adapter)
	if !ok {
		return oleanderspool.Refuse(oleanderspool.RefusalNoBackendServer, "the engine does not serve the model or adapter").
			WithRetry(oleanderspool.RetryBehindConfiguration)
	}
	a.artefacts[call.Attempt] = artefact
	item := itemOf(call)
	if call.Imported {
		cached, ok := a.claimImport(call, now)
		if !ok {
			return oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "the imported KV cache has lapsed").
				WithRetry(oleanderspool.RetryBarred)
		}
		item.MemoryTokens = 0 // reserved by the import
		item.PromptTokens = max(1, item.PromptTokens-cached)
	} else if refusal := a.refuseExcessWork(call, now); refusal != nil {
		return refusal
	}
	err := a.queue.Push(item, now)
	var full *queue.FullError
	var refusal *oleanderspool.Refusal
	switch {
	case err == nil:
		a.wakeDispatch()
		return nil
	case errors.As(err, &full):
		return oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "the queue is full").
			WithRetryAfter(full.RetryAfter).WithRetry(oleanderspool.RetryQueueFull)
	case errors.As(err, &refusal):
		return refusal
	default:
		return oleanderspool.Refuse(oleanderspool.RefusalBadRequest, err.Error())
	}
}

// refuseExcessWork refuses a call whose prompt would exceed the limit on queued
// prompt tokens. An empty queue accepts a prompt of any length.
func (a *Agent) refuseExcessWork(call peer.RunCall, now oleanderspool.Millis) *oleanderspool.Refusal {
	load := a.queue.Load(now)
	excess := load.QueuedTokens + int64(promptTokens(call.Request)) - a.maxQueuedPromptTokens
	if a.maxQueuedPromptTokens == 0 || load.Queued == 0 || excess <= 0 {
		return nil
	}
	refusal := oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "too much prompt work is queued").
		WithRetry(oleanderspool.RetryQueueFull)
	if load.PrefillRate > 0 {
		refusal = refusal.WithRetryAfter(oleanderspool.Millis(float64(excess)/load.PrefillRate) + 1)
	}
	return refusal
}

// itemOf returns the queue item of a call.
func itemOf(call peer.RunCall) queue.Item {
	r := call.Request
	output := int64(r.MaxTokens)
	need := int64(promptTokens(r)) + output
	if call.Group != "" {
		need = 0 // reserved for the group
	}
	return queue.Item{
		Attempt:      call.Attempt,
		Account:      r.Account,
		Priority:     r.Priority,
		PromptTokens: int64(promptTokens(r)),
		OutputTokens: output,
		MemoryTokens: need,
		Deadline:     r.Deadline,
		Exclusive:    call.Trial,
	}
}

// promptTokens returns the prefill work of a request in tokens, including the
// text that it continues from.
func promptTokens(r oleanderspool.Request) int {
	return max(r.PromptTokens, oleanderspool.EstimateTokens(r.Prompt)) + oleanderspool.EstimateTokens(r.GeneratedText)
}

// dispatchQueue hands the queued attempts that can start now to the engine.
func (a *Agent) dispatchQueue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.engine == nil || !a.engineUp {
		return
	}
	now := a.clock.Now()
	decision := a.queue.Next(a.ledger.Available(now), now)
	for _, r := range decision.Refused {
		a.failAttempt(r.Attempt, r.Refusal)
	}
	for _, d := range decision.Dispatches {
		a.dispatch(d, now)
	}
}

// dispatch hands one attempt to the engine.
func (a *Agent) dispatch(d queue.Dispatch, now oleanderspool.Millis) {
	call, ok := a.calls[d.Attempt]
	if !ok || !a.attempts.Begin(d.Attempt, now) {
		a.queue.Finished(d.Attempt, now)
		a.endAttempt(d.Attempt)
		return
	}
	if err := a.reserve(call, d.MemoryTokens, now); err != nil {
		a.queue.Finished(d.Attempt, now)
		a.failAttempt(d.Attempt, oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "no engine memory").
			WithRetry(oleanderspool.RetryQueueFull))
		return
	}
	delete(a.imports, d.Attempt)
	a.source.Started(streamOf(call, a.artefacts[d.Attempt].Version))
	ctx, cancel := context.WithTimeout(a.baseContext, call.Request.Remaining(now).Duration())
	a.cancels[d.Attempt] = cancel
	go a.generate(ctx, cancel, call, d.EnginePriority, a.report.RunID)
}

// reserve reserves engine memory for an attempt in the ledger. An attempt of a
// group or with an imported KV cache has a reservation already.
func (a *Agent) reserve(call peer.RunCall, tokens int64, now oleanderspool.Millis) error {
	if call.Group != "" || call.Imported {
		return nil
	}
	return a.ledger.Reserve(memory.Reservation{
		Name:    string(call.Attempt),
		Purpose: memory.PurposeAttempt,
		Tokens:  tokens,
		Expiry:  call.Request.Deadline,
	}, now)
}

// generate runs one attempt on the engine. engineRun is the engine's run that the
// attempt was handed to.
func (a *Agent) generate(ctx context.Context, cancel context.CancelFunc, call peer.RunCall, priority int, engineRun string) {
	defer cancel()
	r := call.Request
	err := a.engine.Generate(ctx, oleanderspool.GenerateRequest{
		Attempt:       call.Attempt,
		Model:         r.Model,
		Adapter:       r.Adapter,
		Prompt:        r.Prompt,
		GeneratedText: r.GeneratedText,
		MaxTokens:     r.MaxTokens,
		Priority:      priority,
		Remaining:     r.Remaining(a.clock.Now()),
		Group:         call.Group,
		Engines:       len(call.Members),
	}, func(text string, tokens int, finish string) {
		a.appendPiece(call.Attempt, oleanderspool.Piece{Text: text, Tokens: tokens, Finish: finish, Final: finish != ""})
	})
	refusal, broken := engineRefusal(ctx, err)
	if broken && a.engineCrashed(engineRun) {
		crash := a.recordCrash(call, engineRun)
		refusal = refusal.WithRetry(oleanderspool.RetryEngineDied).WithCrash(crash)
	}

	if refusal != nil && a.baseContext.Err() != nil {
		refusal = refusal.WithRetry(oleanderspool.RetryAgentDied) // the agent is abandoning all work
	}

	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	delete(a.cancels, call.Attempt)
	a.queue.Finished(call.Attempt, now)
	if err == nil {
		a.ledger.Finished(string(call.Attempt), now)
		a.endAttempt(call.Attempt)
	} else {
		a.ledger.Release(string(call.Attempt), now)
		a.failAttempt(call.Attempt, refusal)
	}
	a.wakeDispatch()
}

// appendPiece adds a piece to an attempt and wakes its readers.
func (a *Agent) appendPiece(id oleanderspool.AttemptID, p oleanderspool.Piece) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	p, ok := a.attempts.Append(id, p, now)
	if !ok {
		a.metrics.PieceDropped("attempt_ended")
		return
	}
	a.source.Generated(id, p.Tokens, now)
	if p.Sequence == 1 {
		a.queue.FirstToken(id, now)
		a.wakeDispatch()
	}
	a.notifyReaders(id)
}

// engineRefusal maps an error of the engine to a refusal. broken reports that the
// stream broke without an error from the engine, so that it may have crashed.
func engineRefusal(ctx context.Context, err error) (refusal *oleanderspool.Refusal, broken bool) {
	switch {
	case err == nil:
		return nil, false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return oleanderspool.Refuse(oleanderspool.RefusalTimeLimit, "the time limit has passed").
			WithExecution(oleanderspool.MayHaveRun), false
	case ctx.Err() != nil:
		return oleanderspool.Refuse(oleanderspool.RefusalCancelled, "the attempt was cancelled").
			WithExecution(oleanderspool.MayHaveRun), false
	case errorx.IsOfType(err, oleanderspool.ErrInvalid):
		return oleanderspool.Refuse(oleanderspool.RefusalBadRequest, err.Error()), false
	case errorx.IsOfType(err, oleanderspool.ErrUnavailable):
		return oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "the engine refused the request").
			WithRetry(oleanderspool.RetryQueueFull), false
	case errorx.IsOfType(err, oleanderspool.ErrNotSent):
		return oleanderspool.Refuse(oleanderspool.RefusalBackendServerFailed, "the engine could not be reached").
			WithRetry(oleanderspool.RetryConnectFailed), false
	}
	return oleanderspool.Refuse(oleanderspool.RefusalBackendServerFailed, "the engine broke the stream").
		WithExecution(oleanderspool.MayHaveRun).WithRetry(oleanderspool.RetryStreamSilent), true
}

// startServiceCall starts a call of the plain service.
func (a *Agent) startServiceCall(call peer.RunCall) *oleanderspool.Refusal {
	if a.service == nil {
		return oleanderspool.Refuse(oleanderspool.RefusalUnknownRoute, "no plain service beside this agent")
	}
	if a.serviceCalls >= a.maxServiceCalls {
		return oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "too many calls of the plain service").
			WithRetryAfter(oleanderspool.Second).WithRetry(oleanderspool.RetryQueueFull)
	}
	if !a.attempts.Begin(call.Attempt, a.clock.Now()) {
		return oleanderspool.Refuse(oleanderspool.RefusalTimeLimit, "the time limit has passed")
	}
	a.serviceCalls++
	ctx, cancel := context.WithTimeout(a.baseContext, call.Request.Remaining(a.clock.Now()).Duration())
	a.cancels[call.Attempt] = cancel
	go a.callService(ctx, cancel, call)
	return nil
}

// callService makes one call of the plain service.
func (a *Agent) callService(ctx context.Context, cancel context.CancelFunc, call peer.RunCall) {
	defer cancel()
	r := call.Request
	answer, err := a.service.Call(ctx, oleanderspool.ServiceRequest{
		Attempt:    call.Attempt,
		Route:      r.Route,
		Method:     r.Method,
		Path:       r.Path,
		Body:       r.Body,
		Idempotent: r.Idempotent,
		Remaining:  r.Remaining(a.clock.Now()),
	})
	a.mu.Lock()
	a.serviceCalls--
	delete(a.cancels, call.Attempt)
	a.mu.Unlock()
	if err == nil {
		a.appendPiece(call.Attempt, oleanderspool.Piece{
			Text:   string(answer.Body),
			Status: answer.Status,
			Type:   answer.Type,
			Finish: "stop",
			Final:  true,
		})
		a.mu.Lock()
		a.endAttempt(call.Attempt)
		a.mu.Unlock()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failAttempt(call.Attempt, serviceRefusal(ctx, err))
}

// serviceRefusal maps an error of a plain service to a refusal.
func serviceRefusal(ctx context.Context, err error) *oleanderspool.Refusal {
	failed := oleanderspool.Refuse(oleanderspool.RefusalBackendServerFailed, "the plain service failed")
	switch {
	case errorx.IsOfType(err, oleanderspool.ErrInvalid):
		return oleanderspool.Refuse(oleanderspool.RefusalBadRequest, err.Error())
	case errorx.IsOfType(err, oleanderspool.ErrNotSent):
		return failed.WithRetry(oleanderspool.RetryConnectFailed)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return oleanderspool.Refuse(oleanderspool.RefusalTimeLimit, "the time limit has passed").
			WithExecution(oleanderspool.MayHaveRun)
	default:
		return failed.WithExecution(oleanderspool.MayHaveRun).WithRetry(oleanderspool.RetryEngineDied)
	}
}
