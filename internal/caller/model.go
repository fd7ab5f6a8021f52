package caller

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/openai"
)

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	s.model(w, r, openai.ParseChat)
}

func (s *Server) completion(w http.ResponseWriter, r *http.Request) {
	s.model(w, r, openai.ParseCompletion)
}

// models lists the models of the configuration in force.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c := s.gateway.Configuration()
	if _, ok := account(c, r); !ok {
		s.refuse(w, oleanderspool.Refuse(oleanderspool.RefusalUnknownAccount, "the API key is missing or unknown"))
		return
	}
	var list []openai.Model
	for _, m := range c.Models() {
		list = append(list, openai.Model{ID: string(m.ID)})
	}
	for _, a := range c.Adapters() {
		list = append(list, openai.Model{ID: openai.ModelName(a.Model, a.ID)})
	}
	_ = openai.WriteModels(w, list)
}

// model serves a chat or a completion.
func (s *Server) model(w http.ResponseWriter, r *http.Request, parse func([]byte) (openai.Request, error)) {
	c, refusal := s.receive(w, r)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	parsed, err := parse(c.body)
	if err != nil {
		s.refuse(w, oleanderspool.Refuse(oleanderspool.RefusalBadRequest, message(err)))
		return
	}
	request, refusal := s.modelRequest(c, parsed)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	form := openai.Response{
		Chat:    parsed.Chat,
		ID:      string(request.ID),
		Model:   openai.ModelName(parsed.Model, parsed.Adapter),
		Created: time.Now().Unix(),
	}
	if parsed.Stream {
		s.stream(w, r, request, form, parsed.IncludeUsage)
		return
	}
	s.whole(w, r, request, form)
}

// modelRequest checks a parsed body against the configuration.
func (s *Server) modelRequest(c common, p openai.Request) (oleanderspool.Request, *oleanderspool.Refusal) {
	model, ok := c.config.Model(p.Model)
	if !ok {
		return oleanderspool.Request{}, oleanderspool.Refuse(oleanderspool.RefusalUnknownModel, "unknown model "+string(p.Model))
	}
	if p.Adapter != "" {
		adapter, ok := c.config.Adapter(p.Adapter)
		if !ok || adapter.Model != p.Model {
			return oleanderspool.Request{}, oleanderspool.Refuse(oleanderspool.RefusalUnknownModel, "unknown adapter "+string(p.Adapter))
		}
	}
	tokens := oleanderspool.EstimateTokens(p.Prompt)
	if model.MaxPromptTokens > 0 && tokens > model.MaxPromptTokens {
		return oleanderspool.Request{}, oleanderspool.Refuse(oleanderspool.RefusalPromptTooLong, "the prompt is longer than the model takes")
	}
	return oleanderspool.Request{
		ID:           s.gateway.NewRequestID(),
		Account:      c.account.ID,
		Kind:         oleanderspool.KindModel,
		Model:        p.Model,
		Adapter:      p.Adapter,
		Idempotent:   true, // generating text has no side effect
		Key:          c.key,
		Priority:     c.config.Level(c.account.ID),
		Prompt:       p.Prompt,
		PromptTokens: tokens,
		MaxTokens:    p.MaxTokens,
		Deadline:     c.arrived + c.timeout,
		Fingerprint:  fingerprint(c.account.ID, openai.ModelName(p.Model, p.Adapter), []byte(p.Prompt)),
	}, nil
}

// stream answers with server-sent events.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, request oleanderspool.Request, form openai.Response, usage bool) {
	var mu sync.Mutex // heartbeats and pieces come from different goroutines
	out := openai.NewStream(w, form)
	stop := s.heartbeat(func() {
		mu.Lock()
		defer mu.Unlock()
		_ = out.WriteHeartbeat()
	})
	generated, finish := 0, ""
	refusal := s.gateway.Serve(r.Context(), request, func(p oleanderspool.Piece) error {
		mu.Lock()
		defer mu.Unlock()
		generated += p.Tokens
		finish = p.Finish
		if p.Text == "" {
			return nil
		}
		return out.WriteText(p.Text)
	})
	stop()
	if refusal != nil {
		_ = out.WriteRefusal(refusal)
		return
	}
	var total *openai.Usage
	if usage {
		total = &openai.Usage{PromptTokens: request.PromptTokens, GeneratedTokens: generated}
	}
	_ = out.Finish(finish, total)
}

// heartbeat calls beat at each heartbeat interval until the returned function
// is called, which waits for a running beat.
func (s *Server) heartbeat(beat func()) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		t := time.NewTicker(s.limits.Heartbeat.Duration())
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				beat()
			}
		}
	})
	return func() {
		close(done)
		running.Wait()
	}
}

// errAnswerTooLong stops an answer that is to be sent whole.
var errAnswerTooLong = errors.New("the answer is too long to be sent whole")

// maxWholeBytes bounds the memory of an answer that is sent whole.
const maxWholeBytes = 16 << 20

// whole answers with one response.
func (s *Server) whole(w http.ResponseWriter, r *http.Request, request oleanderspool.Request, form openai.Response) {
	var text []byte
	form.Usage.PromptTokens = request.PromptTokens
	refusal := s.gateway.Serve(r.Context(), request, func(p oleanderspool.Piece) error {
		if len(text)+len(p.Text) > maxWholeBytes {
			return errAnswerTooLong
		}
		text = append(text, p.Text...)
		form.Usage.GeneratedTokens += p.Tokens
		form.FinishReason = p.Finish
		return nil
	})
	if refusal != nil {
		s.write(w, refusal)
		return
	}
	form.Text = string(text)
	_ = openai.WriteResponse(w, form)
}

// refuse answers with a refusal that the gateway has not counted.
func (s *Server) refuse(w http.ResponseWriter, refusal *oleanderspool.Refusal) {
	s.metrics.Refused(refusal)
	s.write(w, refusal)
}

func (s *Server) write(w http.ResponseWriter, refusal *oleanderspool.Refusal) {
	_ = openai.WriteRefusal(w, refusal)
}
