package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin"
)

// heartbeat is how often a stream without news gets a comment.
const heartbeat = time.Second

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
	// A fault may end the handler by a panic at any write.
	defer e.lose(q)
	a := &answerWriter{writer: w, sequence: q, stream: b.Stream, chat: len(b.Messages) > 0}
	a.open()
	if !e.follow(r, a, b.TimeoutMS) {
		panic(http.ErrAbortHandler)
	}
}

// refusal is why a request is not taken.
type refusal struct {
	status  int
	code    string
	message string
}

// submit puts a request into the engine's queue.
func (e *Engine) submit(b generateBody) (*sequence, *refusal) {
	q := newSequence(b)
	e.lockUp()
	defer e.mu.Unlock()
	if refusal := e.check(q, b); refusal != nil {
		return nil, refusal
	}
	e.arrivals++
	q.arrival = e.arrivals
	e.sequences[q.owner] = q
	e.history.add(q)
	e.waiting = insert(e.waiting, q)
	e.wake()
	return q, nil
}

func newSequence(b generateBody) *sequence {
	prompt, continued := b.texts()
	q := &sequence{
		owner:    b.RequestID,
		memory:   b.RequestID,
		model:    b.Model,
		prompt:   prompt,
		prefixes: prefixes(b.Model, prompt),
		start:    len(continued) / TokenBytes,
		limit:    b.MaxTokens,
		share:    1,
		priority: b.Priority,
		changed:  make(chan struct{}, 1),
	}
	if b.Group != nil {
		q.memory = b.Group.Owner
		q.share = max(1, b.Group.Engines)
	}
	total := countTokens(prompt) + countTokens(continued) + int64(b.MaxTokens)
	q.need = (total + q.share - 1) / q.share
	return q
}

// check returns why a request cannot be taken, or nil. The caller holds the
// lock.
func (e *Engine) check(q *sequence, b generateBody) *refusal {
	switch {
	case q.owner == "" || q.limit < 1 || q.prompt == "":
		return &refusal{http.StatusBadRequest, "bad_request", "request_id, max_tokens or prompt is missing"}
	case !e.serves(q.model):
		return &refusal{http.StatusServiceUnavailable, "model_not_loaded", "model is not loaded: " + q.model}
	case e.sequences[q.owner] != nil:
		return &refusal{http.StatusConflict, "duplicate", "request_id is in use"}
	case b.Group != nil && e.memory.owned[q.memory] < q.need:
		return &refusal{http.StatusInsufficientStorage, "no_reservation", "the group's reservation is missing or too small"}
	case q.need > e.sizeTokens:
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

// follow writes the answer of a sequence as it grows. It returns false when the
// connection must be closed without the answer's end.
func (e *Engine) follow(r *http.Request, a *answerWriter, timeoutMS int64) bool {
	q := a.sequence
	ticker := time.NewTicker(heartbeat)
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
			if ended, ok := e.write(a); ended {
				return ok
			}
		case <-ticker.C:
			if !e.isPaused() {
				a.heartbeat()
			}
		case <-expired:
			e.drop(q, "time limit")
		case <-r.Context().Done():
			return false
		}
	}
}

// write passes on what is new of a sequence and reports whether it has ended,
// and if so whether in order.
func (e *Engine) write(a *answerWriter) (ended, ok bool) {
	q := a.sequence
	e.mu.Lock()
	generated, finish, failure, crashed := q.generated, q.finish, q.failure, q.crashed
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

// drop gives a sequence up, unless it has ended.
func (e *Engine) drop(q *sequence, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !q.ended() {
		e.fail(q, message)
	}
}

// lose ends a sequence whose connection is lost. An engine that leaks keeps its
// memory.
func (e *Engine) lose(q *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.ended() {
		return
	}
	held := e.memory.owned[q.owner]
	e.fail(q, "connection was lost")
	if e.leak && held > 0 {
		e.memory.owned[q.owner] = held
	}
}

// answerWriter writes the answer of a sequence, as a stream or as a whole.
type answerWriter struct {
	writer   http.ResponseWriter
	sequence *sequence
	stream   bool
	chat     bool
	sent     int // tokens
}

// open starts a stream with a comment, so that the peer sees it was accepted.
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

// text writes the tokens up to generated.
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

// fail reports a failure. A stream then ends without its end mark.
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
		panic(err) // the types above always encode
	}
	a.send("data: " + string(data) + "\n\n")
}

// send writes to the stream. A failure shows as the end of the request's context.
func (a *answerWriter) send(text string) {
	if _, err := a.writer.Write([]byte(text)); err == nil {
		_ = http.NewResponseController(a.writer).Flush()
	}
}
