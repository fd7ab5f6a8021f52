package placement

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// Losses are the parts of the cost of a placement that decide on a refusal, in units of
// value.
type Losses struct {
	Own     float64 // of the request, by a late first token
	Streams float64 // of streams on its servers, by longer pauses between events
	Delayed float64 // of prompts on its servers that are prefilled later
	Prefill float64 // of later requests that would have used the prefill time
}

// lossesOf returns the losses by a placement, without Prefill.
func lossesOf(d *Decision, loads []*serverLoad, e *directory.Engine, r Request, now oleanderspool.Millis) Losses {
	shards := 1 + len(d.Helpers)
	prefill, maxPass := shardPrefill(e, r, shards)
	if shards == 1 {
		maxPass = maxPassPrefillMillis(e, r.PromptTokens, prefill)
	}
	losses := Losses{Own: r.ttftLoss(float64(d.TTFT))}
	for _, l := range loads {
		id := l.server.Instance
		if id != d.Server.Instance && !slices.ContainsFunc(d.Helpers, func(h Helper) bool { return h.Server.Instance == id }) {
			continue
		}
		losses.Streams += l.streamLoss(e, prefill, maxPass)
		if shards > 1 {
			losses.Delayed += l.delayLoss(prefill, now)
		}
	}
	return losses
}
