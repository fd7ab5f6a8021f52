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
	s.serveModel(w, r, openai.ParseChat)
}

func (s *Server) completion(w http.ResponseWriter, r *http.Request) {
	s.serveModel(w, r, openai.ParseCompletion)
}

// models lists the models and adapters of the configuration in force.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c := s.gateway.Configuration()
	if _, ok := authenticate(c, r); !ok {
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

// serveModel handles a chat or text completion.
func (s *Server) serveModel(w http.ResponseWriter, r *http.Request, parse func([]byte) (openai.Request, error)) {
	in, refusal := s.receive(w, r)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	parsed, err := parse(in.body)
	if err != nil {
		s.refuse(w, oleanderspool.Refuse(oleanderspool.RefusalBadRequest, errorMessage(err)))
		return
	}
	request, refusal := s.newModelRequest(in, parsed)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	response := openai.Response{
		Chat:    parsed.Chat,
		ID:      string(request.ID),
		Model:   openai.ModelName(parsed.Model, parsed.Adapter),
		Created: time.Now().Unix(),
	}
	if parsed.Stream {
		s.stream(w, r, request, response, parsed.IncludeUsage)
		return
	}
	s.respond(w, r, request, response)
}

// newModelRequest checks a parsed body against the configuration and returns the
// request for the gateway.
func (s *Server) newModelRequest(in incoming, p openai.Request) (oleanderspool.Request, *oleanderspool.Refusal) {
	model, ok := in.config.Model(p.Model)
	if !ok {
		return oleanderspool.Request{}, oleanderspool.Refuse(oleanderspool.RefusalUnknownModel, "unknown model "+string(p.Model))
	}
	if p.Adapter != "" {
		adapter, ok := in.config.Adapter(p.Adapter)
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
		Account:      in.account.ID,
		Kind:         oleanderspool.KindModel,
		Model:        p.Model,
		Adapter:      p.Adapter,
		Idempotent:   true, // generating text has no side effect
		Key:          in.key,
		Priority:     in.config.Level(in.account.ID),
		Prompt:       p.Prompt,
		PromptTokens: tokens,
		MaxTokens:    p.MaxTokens,
		Deadline:     in.arrival + in.timeout,
		Fingerprint:  fingerprint(in.account.ID, openai.ModelName(p.Model, p.Adapter), []byte(p.Prompt)),
	}, nil
}

// stream responds with server-sent events.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, request oleanderspool.Request, response openai.Response, includeUsage bool) {
	var mu sync.Mutex // guards out: heartbeats and pieces come from different goroutines
	out := openai.NewStream(w, response)
	stopHeartbeat := s.startHeartbeat(func() {
		mu.Lock()
		defer mu.Unlock()
		_ = out.WriteHeartbeat()
	})
	generated, finishReason := 0, ""
	refusal := s.gateway.Serve(r.Context(), request, func(p oleanderspool.Piece) error {
		mu.Lock()
		defer mu.Unlock()
		generated += p.Tokens
		finishReason = p.Finish
		if p.Text == "" {
			return nil
		}
		return out.WriteText(p.Text)
	})
	stopHeartbeat()
	if refusal != nil {
		_ = out.WriteRefusal(refusal)
		return
	}
	var usage *openai.Usage
	if includeUsage {
		usage = &openai.Usage{PromptTokens: request.PromptTokens, GeneratedTokens: generated}
	}
	_ = out.Finish(finishReason, usage)
}

// startHeartbeat calls send at each heartbeat interval until stop is called,
// which waits for a running call of send.
func (s *Server) startHeartbeat(send func()) (stop func()) {
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
				send()
			}
		}
	})
	return func() {
		close(done)
		running.Wait()
	}
}

// errResponseTooLong aborts a non-streaming response that exceeds
// maxResponseBytes.
var errResponseTooLong = errors.New("the answer is too long to be sent whole")

// maxResponseBytes bounds the memory of a non-streaming response.
const maxResponseBytes = 16 << 20

// respond collects the generated text and sends it in one response.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, request oleanderspool.Request, response openai.Response) {
	var text []byte
	response.Usage.PromptTokens = request.PromptTokens
	refusal := s.gateway.Serve(r.Context(), request, func(p oleanderspool.Piece) error {
		if len(text)+len(p.Text) > maxResponseBytes {
			return errResponseTooLong
		}
		text = append(text, p.Text...)
		response.Usage.GeneratedTokens += p.Tokens
		response.FinishReason = p.Finish
		return nil
	})
	if refusal != nil {
		s.writeRefusal(w, refusal)
		return
	}
	response.Text = string(text)
	_ = openai.WriteResponse(w, response)
}

// refuse counts a refusal that the gateway has not counted, and sends it.
func (s *Server) refuse(w http.ResponseWriter, refusal *oleanderspool.Refusal) {
	s.metrics.Refused(refusal)
	s.writeRefusal(w, refusal)
}

func (s *Server) writeRefusal(w http.ResponseWriter, refusal *oleanderspool.Refusal) {
	_ = openai.WriteRefusal(w, refusal)
}
