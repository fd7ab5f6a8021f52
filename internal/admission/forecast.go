package admission

import "github.com/oleanderspool/oleanderspool"

const (
	// DefaultPrefillRate is assumed until a server has reported its rate, in
	// tokens per millisecond. It equals the default of package routing.
	DefaultPrefillRate = 8.0
	// DefaultShortPrompt is the longest prompt, in tokens, that the queues of
	// the agents let pass longer ones.
	DefaultShortPrompt = 4000
	// shortWait is the part of a server's work that a short prompt is expected
	// to wait for. Agents serve short prompts first and tell entries only the
	// sum of their work, so the forecast must be low: a request that is admitted
	// in vain is refused by its agent, one that is refused in vain is lost.
	shortWait = 0.1
)

// Forecast tells how long prompts wait, by model. It is computed once per
// snapshot of the membership and read for every request.
type Forecast struct {
	models map[oleanderspool.ModelID]modelForecast
	rate   float64 // prefill rate of all servers, in tokens per millisecond
}

type modelForecast struct {
	wait float64 // shortest time to finish the work of a server, in milliseconds
	rate float64 // highest prefill rate of a server, in tokens per millisecond
}

// NewForecast returns the forecast for a snapshot of backend servers.
func NewForecast(servers []oleanderspool.BackendServer) Forecast {
	f := Forecast{models: make(map[oleanderspool.ModelID]modelForecast)}
	for i := range servers {
		b := &servers[i]
		if b.Role != oleanderspool.RoleModel || b.Leaving {
			continue
		}
		rate := b.Load.PrefillRate
		if rate <= 0 {
			rate = DefaultPrefillRate
		}
		f.rate += rate
		f.add(b, rate)
	}
	return f
}

func (f Forecast) add(b *oleanderspool.BackendServer, rate float64) {
	wait := float64(b.Load.QueuedTokens+b.Load.RunningTokens) / rate
	for _, model := range b.Models {
		m, known := f.models[model]
		if !known || wait < m.wait {
			m.wait = wait
		}
		m.rate = max(m.rate, rate)
		f.models[model] = m
	}
}

// Rate returns the prefill rate of all model runners in tokens per
// millisecond.
func (f Forecast) Rate() float64 {
	return f.rate
}

// Wait returns the span in milliseconds that the prompt of r is expected to
// wait on the least busy server, and the span of its own prefill. Both are 0
// for services and for models that no server has reported.
func (f Forecast) Wait(r oleanderspool.Request) (wait, prefill oleanderspool.Millis) {
	m, known := f.models[r.Model]
	if r.Kind != oleanderspool.KindModel || !known {
		return 0, 0
	}
	part := 1.0
	if r.PromptCount <= DefaultShortPrompt {
		part = shortWait
	}
	return roundUp(part * m.wait), roundUp(float64(r.PromptCount) / m.rate)
}
