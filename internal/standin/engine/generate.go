package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin"
)

// heartbeatInterval is the interval between the comments that keep a stream alive.
const heartbeatInterval = time.Second

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var b generateBody
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	q, refusal := e.submit(b)
	if refusal != nil {
		refuse(w, refusal.status, refusal.code, refusal.message)
		return
	}
	// Deferred because an injected fault may panic in any write of the handler.
	defer e.disconnect(q)
	a := &answerWriter{writer: w, sequence: q, stream: b.Stream, chat: len(b.Messages) > 0}
	a.open()
	if !e.writeAnswer(r, a, b.TimeoutMS) {
		panic(http.ErrAbortHandler)
	}
}

// refusal is the error response to a request that the engine does not accept.
type refusal struct {
	status  int
	code    string
	message string
}

// submit adds a request to the engine's queue, or returns why it is refused.
func (e *Engine) submit(b generateBody) (*sequence, *refusal) {
	q := newSequence(b)
	e.lockIfUp()
	defer e.mu.Unlock()
	if refusal := e.check(q, b); refusal != nil {
		return nil, refusal
	}
	e.arrivals++
	q.arrival = e.arrivals
	e.sequences[q.owner] = q
	e.history.add(q)
	e.waiting = insert(e.waiting, q)
	e.signalWork()
	return q, nil
}

func newSequence(b generateBody) *sequence {
	prompt, continued := b.texts()
	q := &sequence{
		owner:       b.RequestID,
		memoryOwner: b.RequestID,
		model:       b.Model,
		prompt:      prompt,
		prefixes:    prefixes(b.Model, prompt),
		start:       len(continued) / TokenBytes,
		maxTokens:   b.MaxTokens,
		engines:     1,
		priority:    b.Priority,
		changed:     make(chan struct{}, 1),
	}
	if b.Group != nil {
		q.memoryOwner = b.Group.Owner
		q.engines = max(1, b.Group.Engines)
	}
	total := countTokens(prompt) + countTokens(continued) + int64(b.MaxTokens)
	q.neededTokens = (total + q.engines - 1) / q.engines
	return q
}

// check returns why a request is refused, or nil if it is acceptable. The caller
// holds the lock.
func (e *Engine) check(q *sequence, b generateBody) *refusal {
	switch {
	case q.owner == "" || q.maxTokens < 1 || q.prompt == "":
		return &refusal{http.StatusBadRequest, "bad_request", "request_id, max_tokens or prompt is missing"}
	case !e.serves(q.model):
		return &refusal{http.StatusServiceUnavailable, "model_not_loaded", "model is not loaded: " + q.model}
	case e.sequences[q.owner] != nil:
		return &refusal{http.StatusConflict, "duplicate", "request_id is in use"}
	case b.Group != nil && e.memory.allocated[q.memoryOwner] < q.neededTokens:
		return &refusal{http.StatusInsufficientStorage, "no_reservation", "the group's reservation is missing or too small"}
	case q.neededTokens > e.sizeTokens:
		return &refusal{http.StatusBadRequest, "prompt_too_long", "prompt exceeds the engine's memory"}
	case len(e.waiting) >= e.maxWaiting:
		return &refusal{http.StatusServiceUnavailable, "queue_full", "queue is full"}
	}
	return nil
}

// serves reports whether a model, with its adapter, is loaded. The caller holds
// the lock.
func (e *Engine) serves(name string) bool {
	model, _, adapted := strings.Cut(name, ":")
	return e.models.has(model) && (!adapted || e.adapters.has(name))
}

// writeAnswer writes the answer of a sequence as tokens are generated. It returns
// false if the connection must be closed before the answer is complete.
func (e *Engine) writeAnswer(r *http.Request, a *answerWriter, timeoutMS int64) bool {
	q := a.sequence
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var expired <-chan time.Time
	if timeoutMS > 0 {
		timer := time.NewTimer(oleanderspool.Millis(timeoutMS).Duration())
		defer timer.Stop()
		expired = timer.C
	}
	for {
		select {
		case <-q.changed:
			if ended, ok := e.writeProgress(a); ended {
				return ok
			}
		case <-ticker.C:
			if !e.isPaused() {
				a.heartbeat()
			}
		case <-expired:
			e.failUnlessEnded(q, "time limit")
		case <-r.Context().Done():
			return false
		}
	}
}

// writeProgress writes the new tokens of a sequence. It reports whether the
// sequence has ended, and ok unless it was aborted.
func (e *Engine) writeProgress(a *answerWriter) (ended, ok bool) {
	q := a.sequence
	e.mu.Lock()
	generated, finish, failure, crashed := q.generated, q.finishReason, q.failure, q.crashed
	e.mu.Unlock()
	switch {
	case crashed:
		return true, false
	case failure != "":
		a.fail(failure)
		return true, true
	}
	a.text(generated)
	if finish == "" {
		return false, true
	}
	a.end(generated, finish)
	return true, true
}

// failUnlessEnded ends a sequence with an error message, unless it has ended.
func (e *Engine) failUnlessEnded(q *sequence, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !q.ended() {
		e.fail(q, message)
	}
}

// disconnect fails a sequence whose connection is lost. An engine with a memory
// leak keeps the sequence's memory allocated.
func (e *Engine) disconnect(q *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.ended() {
		return
	}
	held := e.memory.allocated[q.owner]
	e.fail(q, "connection was lost")
	if e.leaksMemory && held > 0 {
		e.memory.allocated[q.owner] = held
	}
}

// answerWriter writes the answer of a sequence, as a stream or as one response.
type answerWriter struct {
	writer   http.ResponseWriter
	sequence *sequence
	stream   bool
	chat     bool
	sent     int // tokens written so far
}

// open starts a stream with a comment, so that the client sees that the request
// was accepted.
func (a *answerWriter) open() {
	if !a.stream {
		return
	}
	a.writer.Header().Set("Content-Type", "text/event-stream")
	a.writer.WriteHeader(http.StatusOK)
	a.heartbeat()
}

func (a *answerWriter) heartbeat() {
	if a.stream {
		a.send(": waiting\n\n")
	}
}

// text streams the tokens that have not been sent yet, up to the generated count.
func (a *answerWriter) text(generated int) {
	if !a.stream || generated == a.sent {
		return
	}
	q := a.sequence
	a.event(a.body(Text(q.prompt, q.start+a.sent, q.start+generated), generated, nil))
	a.sent = generated
}

func (a *answerWriter) end(generated int, finish string) {
	if a.stream {
		a.event(a.body("", generated, &finish))
		a.send("data: [DONE]\n\n")
		return
	}
	q := a.sequence
	standin.WriteJSON(a.writer, http.StatusOK, a.body(Text(q.prompt, q.start, q.start+generated), generated, &finish))
}

// fail writes an error. A stream then ends without its [DONE] event.
func (a *answerWriter) fail(message string) {
	if a.stream {
		a.event(failureBody{Error: failureFields{Message: message}})
		return
	}
	standin.WriteError(a.writer, http.StatusInternalServerError, standin.Error{Message: message, Code: "failed"})
}

func (a *answerWriter) body(text string, generated int, finish *string) answerBody {
	q := a.sequence
	prompt := countTokens(q.prompt)
	choice := choiceBody{FinishReason: finish}
	object := "text_completion"
	switch message := (&messageBody{Role: "assistant", Content: text}); {
	case !a.chat:
		choice.Text = &text
	case a.stream:
		choice.Delta, object = message, "chat.completion.chunk"
	default:
		choice.Message, object = message, "chat.completion"
	}
	return answerBody{
		ID: q.owner, Object: object, Model: q.model,
		Choices: []choiceBody{choice},
		Usage: usageBody{
			PromptTokens: prompt, CompletionTokens: generated, TotalTokens: prompt + int64(generated),
		},
	}
}

func (a *answerWriter) event(value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // bodies always encode
	}
	a.send("data: " + string(data) + "\n\n")
}

// send writes to the stream. It ignores write errors, since a lost connection
// also cancels the request's context.
func (a *answerWriter) send(text string) {
	if _, err := a.writer.Write([]byte(text)); err == nil {
		_ = http.NewResponseController(a.writer).Flush()
	}
}
