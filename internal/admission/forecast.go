package admission

import "github.com/oleanderspool/oleanderspool"

// DefaultPrefillRate is the prefill rate assumed until a server has reported its
// own, in tokens per millisecond. It equals the default of package routing, so
// that admission and placement predict the same wait.
const DefaultPrefillRate = 8.0

// Forecast predicts how long prompts wait, by model. It is computed once per
// snapshot of the membership and read for every request.
type Forecast struct {
	models map[oleanderspool.ModelID]modelForecast
	rate   float64 // prefill rate of all servers, in tokens per millisecond
}

// classCount is the number of classes of prompt lengths, including the one above
// all bounds.
const classCount = len(oleanderspool.LengthClassBounds) + 1

type modelForecast struct {
	// wait is, by class of prompt lengths, the time in milliseconds until the
	// least busy server has finished the work that is served before a prompt.
	wait [classCount]float64
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
	wait := waitByClass(b.Load, rate)
	for _, model := range b.Models {
		m, known := f.models[model]
		for class := range wait {
			if !known || wait[class] < m.wait[class] {
				m.wait[class] = wait[class]
			}
		}
		m.rate = max(m.rate, rate)
		f.models[model] = m
	}
}

// waitByClass returns, by class of prompt lengths, the time in milliseconds that
// a server needs for the work that is served before a prompt.
func waitByClass(load oleanderspool.Load, rate float64) [classCount]float64 {
	var wait [classCount]float64
	for class, tokens := range load.TokensAhead {
		wait[class] = float64(tokens) / rate
	}
	wait[classCount-1] = float64(load.OutstandingTokens()) / rate
	return wait
}

// PrefillRate returns the prefill rate of all backend servers of the forecast
// together, in tokens per millisecond.
func (f Forecast) PrefillRate() float64 {
	return f.rate
}

// Wait returns how long, in milliseconds, the prompt of r is expected to wait
// for the work that is served first on the least busy server, and how long its
// own prefill takes on the fastest one. Both are 0 for services and for models
// that no server has reported.
func (f Forecast) Wait(r oleanderspool.Request) (wait, prefill oleanderspool.Millis) {
	m, known := f.models[r.Model]
	if r.Kind != oleanderspool.KindModel || !known {
		return 0, 0
	}
	wait = toMillis(m.wait[oleanderspool.LengthClass(int64(r.PromptTokens))])
	return wait, toMillis(float64(r.PromptTokens) / m.rate)
}
