package command

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/oleanderspool/oleanderspool"
)

// soloCommand runs everything in one process.
type soloCommand struct {
	Runners int  `long:"runners" default:"3" description:"Number of model runners"`
	Serve   bool `long:"serve" description:"Go on serving after the demonstration until SIGINT"`
}

func (c *soloCommand) run(env environment, _ []string) error {
	f, err := newFleet(env, fleetSize{entries: 2, runners: c.Runners, services: 2})
	if err == nil {
		err = demonstrate(env, f)
	}
	if err == nil && c.Serve {
		fmt.Fprintf(env.stdout, "\nServing at %s with API key %s and model %s until SIGINT.\n", f.entries[0], fleetKey, fleetModel)
		<-env.ctx.Done()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// demonstrate sends a few requests and prints their answers.
func demonstrate(env environment, f *fleet) error {
	question := callerRequest{
		entry: f.entries[0], apiKey: fleetKey, model: fleetModel, tokens: 24,
		prompt: "How many ratchet straps are in Temuco?",
	}
	if err := show(env, "A short question, streamed:", question); err != nil {
		return err
	}
	manifest := question
	manifest.entry = f.entries[1]
	manifest.prompt = strings.Repeat("12 pegs, 4 stakes, 2 ratchet straps for the tent in Talca.\n", 400)
	if err := show(env, "A season manifest, streamed:", manifest); err != nil {
		return err
	}
	if err := showReservation(env, f); err != nil {
		return err
	}
	limited := question
	limited.apiKey = fleetLimitedKey
	if err := show(env, "A client account with a low limit, first request:", limited); err != nil {
		return err
	}
	return show(env, "The same account again, refused with the time to come back:", limited)
}

// showReservation sends one reservation twice, through two entries.
func showReservation(env environment, f *fleet) error {
	reservation := callerRequest{
		entry: f.entries[0], apiKey: fleetKey, route: "pegs/reserve", method: http.MethodPost,
		body: []byte(`{"reference":"job-17","item":"straps","count":4}`), key: "job-17-straps", timeout: 10 * oleanderspool.Second,
	}
	if err := show(env, "A reservation with an idempotency key:", reservation); err != nil {
		return err
	}
	reservation.entry = f.entries[1]
	if err := show(env, "The same reservation again, through another entry:", reservation); err != nil {
		return err
	}
	runs := 0
	for _, s := range f.services {
		for _, r := range s.Runs() {
			runs += r.Count
		}
	}
	fmt.Fprintf(env.stdout, "   reservations made: %d\n", runs)
	return nil
}

// show sends a request once and prints what came back.
func show(env environment, title string, request callerRequest) error {
	fmt.Fprintf(env.stdout, "\n%s\n   ", title)
	result, err := request.send(env.ctx, http.DefaultClient, env.stdout)
	if err != nil {
		return err
	}
	fmt.Fprintln(env.stdout, outcomeText(result))
	return nil
}

// outcomeText describes a result in one line.
func outcomeText(c callerResult) string {
	if r := c.refusal; r != nil {
		return fmt.Sprintf("refused: reason %s, execution %s, retry after %d ms", r.Reason, r.Execution, r.RetryAfter)
	}
	return fmt.Sprintf("\n   (status %d, first part after %d ms, whole after %d ms)", c.status, c.firstToken, c.total)
}
