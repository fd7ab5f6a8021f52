package routing

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// FilterFunc adapts a function to [oleanderspool.Filter].
type FilterFunc func(r oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) bool

// Allows calls f.
func (f FilterFunc) Allows(r oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) bool {
	return f(r, b, now)
}

// Serving allows servers that have loaded the requested model or run the service's route.
func Serving() oleanderspool.Filter {
	return FilterFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) bool {
		return b.Serves(r)
	})
}

// NotLeaving allows servers that have not announced that they leave.
func NotLeaving() oleanderspool.Filter {
	return FilterFunc(func(_ oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) bool {
		return !b.Leaving
	})
}

// Fresh allows servers whose last report is at most bound milliseconds old. It repeats
// the bound of the membership table in case that table was not updated in time, as
// after a pause of the entry's process.
func Fresh(bound oleanderspool.Millis) oleanderspool.Filter {
	return FilterFunc(func(_ oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) bool {
		return now-b.ReportedAt <= bound
	})
}

// InSet allows servers of the set that the configuration names for the model or
// route. setOf returns false for a request without a set; then no server is allowed.
func InSet(setOf func(oleanderspool.Request) (oleanderspool.ServerSetID, bool)) oleanderspool.Filter {
	return FilterFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) bool {
		id, found := setOf(r)
		return found && slices.Contains(b.Sets, id)
	})
}

// AtRevision allows servers that have at least the configuration revision that the
// request requires.
func AtRevision(required func(oleanderspool.Request) oleanderspool.Revision) oleanderspool.Filter {
	return FilterFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) bool {
		return b.Revision >= required(r)
	})
}

// FitsMemory allows servers whose KV cache can hold the request. A server that has not
// reported its memory is allowed. A prompt that exceeds the memory of every server
// needs a group, see [Router.PlanGroup].
func FitsMemory() oleanderspool.Filter {
	return FilterFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) bool {
		return r.Kind != oleanderspool.KindModel || b.Load.CapacityTokens == 0 || RequiredMemory(r) <= b.Load.CapacityTokens
	})
}

// RequiredMemory returns the KV cache that a request needs, in tokens: its prompt and
// the longest answer.
func RequiredMemory(r oleanderspool.Request) int64 {
	return int64(r.PromptTokens) + int64(r.MaxTokens)
}
