package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/openai"
)

// callerRequest is one request as a caller sends it.
type callerRequest struct {
	entry   string // base address of the entry, "http://ip:port"
	apiKey  string
	timeout oleanderspool.Millis
	key     oleanderspool.IdempotencyKey
	model   string // for a chat
	prompt  string
	tokens  int
	id      string // of the request at an engine that is called directly
	route   string // for a service call, with its path
	method  string
	body    []byte
}

// callerResult is the outcome of one request.
type callerResult struct {
	status     int
	bytes      int
	events     int
	firstToken oleanderspool.Millis // span to the first part of the answer
	total      oleanderspool.Millis
	refusal    *oleanderspool.Refusal // nil after a complete answer
}

// send sends the request once and writes the answer to out. An error says
// that the connection failed, so that the outcome is unknown.
func (r callerRequest) send(ctx context.Context, client *http.Client, out io.Writer) (callerResult, error) {
	request, err := r.build(ctx)
	if err != nil {
		return callerResult{}, err
	}
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return callerResult{}, err
	}
	defer func() { _ = response.Body.Close() }()
	result := callerResult{status: response.StatusCode}
	if r.model != "" && response.StatusCode == http.StatusOK {
		err = result.readStream(response.Body, out, started)
	} else {
		err = result.readWhole(response, out, started)
	}
	result.total = oleanderspool.MillisOf(time.Since(started))
	return result, err
}

func (r callerRequest) build(ctx context.Context) (*http.Request, error) {
	method, path, body := r.method, "/services/"+r.route, r.body
	if r.model != "" {
		var err error
		method, path = http.MethodPost, "/v1/chat/completions"
		body, err = json.Marshal(chatBody{
			Model:     r.model,
			Messages:  []chatMessage{{Role: "user", Content: r.prompt}},
			MaxTokens: r.tokens,
			Stream:    true,
			RequestID: r.id,
		})
		if err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, r.entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The transport must not repeat the request by itself: only the caller
	// decides on that.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+r.apiKey)
	request.Header.Set("Content-Type", "application/json")
	if r.timeout > 0 {
		request.Header.Set("Request-Timeout", strconv.FormatFloat(r.timeout.Duration().Seconds(), 'f', -1, 64))
	}
	if r.key != "" {
		request.Header.Set("Idempotency-Key", string(r.key))
	}
	return request, nil
}

// errCutAnswer says that an answer ended without its end mark.
var errCutAnswer = errors.New("the answer ended early")

func (c *callerResult) readStream(body io.Reader, out io.Writer, started time.Time) error {
	reader := openai.NewEventReader(body)
	for {
		event, err := reader.Next()
		switch {
		case err != nil:
			return errors.Join(errCutAnswer, err)
		case event.Comment:
			continue
		case event.Done():
			return nil
		}
		if refusal, ok := openai.ParseRefusal(event.Data); ok {
			c.refusal = refusal
			return nil
		}
		chunk, err := openai.ParseChunk(event.Data)
		if err != nil {
			return err
		}
		if chunk.Text == "" {
			continue
		}
		if c.events == 0 {
			c.firstToken = oleanderspool.MillisOf(time.Since(started))
		}
		c.events++
		c.bytes += len(chunk.Text)
		if _, err := io.WriteString(out, chunk.Text); err != nil {
			return err
		}
	}
}

func (c *callerResult) readWhole(response *http.Response, out io.Writer, started time.Time) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	c.firstToken = oleanderspool.MillisOf(time.Since(started))
	c.bytes = len(body)
	if refusal, ok := openai.ParseRefusal(body); ok && response.StatusCode != http.StatusOK {
		c.refusal = refusal
		return nil
	}
	_, err = out.Write(body)
	return err
}

// mayResend reports whether a refused request may be sent again: it was not
// run, or a key makes the resend safe, and the entry says when.
func (r callerRequest) mayResend(refusal *oleanderspool.Refusal) bool {
	safe := refusal.Execution == oleanderspool.NotRun || r.key != "" || r.model != ""
	return safe && refusal.RetryAfter > 0
}

// sendWithRetries sends the request until it is answered, refused for good or
// the retries are used up. It reports each refusal to notes.
func (r callerRequest) sendWithRetries(ctx context.Context, client *http.Client, out, notes io.Writer, retries int) (callerResult, error) {
	for {
		result, err := r.send(ctx, client, out)
		if err != nil || result.refusal == nil {
			return result, err
		}
		fmt.Fprintf(notes, "refused: %s, %s, retry after %d ms: %s\n",
			result.refusal.Reason, result.refusal.Execution, result.refusal.RetryAfter, result.refusal.Message)
		if retries == 0 || !r.mayResend(result.refusal) {
			return result, nil
		}
		retries--
		select {
		case <-ctx.Done():
			return result, ctx.Err()
		case <-time.After(result.refusal.RetryAfter.Duration()):
		}
	}
}
