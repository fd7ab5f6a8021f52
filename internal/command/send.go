package command

import (
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/oleanderspool/oleanderspool"
)

// sendCommand sends one request.
type sendCommand struct {
	Entry     string `long:"entry" default:"http://127.0.0.1:8080" value-name:"URL" description:"Address of an entry or of the balancer"`
	APIKey    string `long:"api-key" env:"OLEANDERSPOOL_API_KEY" required:"true" description:"API key of the client account"`
	Model     string `long:"model" description:"Model of a chat, with an adapter as model:adapter"`
	Prompt    string `long:"prompt" description:"Prompt of a chat"`
	File      string `long:"prompt-file" value-name:"FILE" description:"File with the prompt of a chat"`
	MaxTokens int    `long:"max-tokens" default:"256" description:"Longest answer in tokens"`
	Route     string `long:"route" description:"Route of a plain service with its path, such as pegs/reserve"`
	Method    string `long:"method" default:"POST" description:"HTTP method of a service call"`
	Body      string `long:"body" description:"Body of a service call"`
	Key       string `long:"idempotency-key" description:"Key under which the request runs at most once"`
	TimeoutMS int64  `long:"timeout-ms" default:"120000" description:"Time limit in milliseconds"`
	Retries   int    `long:"retries" default:"3" description:"How often a refused request is sent again"`
}

func (c *sendCommand) run(env environment, _ []string) error {
	request, err := c.request()
	if err != nil {
		return withCode(ExitUsage, err)
	}
	result, err := request.sendWithRetries(env.ctx, http.DefaultClient, env.stdout, env.stderr, c.Retries)
	fmt.Fprintln(env.stdout)
	switch {
	case err != nil:
		return withCode(ExitUnknown, err)
	case result.refusal != nil:
		return withCode(ExitRejected, result.refusal)
	}
	fmt.Fprintf(env.stderr, "answered: status %d, %d bytes, first part after %d ms, whole after %d ms\n",
		result.status, result.bytes, result.firstToken, result.total)
	return nil
}

func (c *sendCommand) request() (callerRequest, error) {
	prompt := c.Prompt
	if c.File != "" {
		data, err := os.ReadFile(c.File)
		if err != nil {
			return callerRequest{}, err
		}
		prompt = string(data)
	}
	if (c.Model == "") == (c.Route == "") {
		return callerRequest{}, errors.New("send needs either --model or --route")
	}
	return callerRequest{
		entry:   c.Entry,
		apiKey:  c.APIKey,
		timeout: oleanderspool.Millis(c.TimeoutMS),
		key:     oleanderspool.IdempotencyKey(c.Key),
		model:   c.Model,
		prompt:  prompt,
		tokens:  c.MaxTokens,
		route:   c.Route,
		method:  c.Method,
		body:    []byte(c.Body),
	}, nil
}
