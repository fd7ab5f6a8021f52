package routing

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// FilterFunc is a [oleanderspool.Filter] made of a function.
type FilterFunc func(r oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) bool

// Allows calls f.
func (f FilterFunc) Allows(r oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) bool {
	return f(r, b, now)
}

// Serving allows servers that have loaded the model or run the route.
func Serving() oleanderspool.Filter {
	return FilterFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) bool {
		return b.Serves(r)
	})
}

// NotLeaving allows servers that do not leave.
func NotLeaving() oleanderspool.Filter {
	return FilterFunc(func(_ oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) bool {
		return !b.Leaving
	})
}

// Fresh allows servers whose last report is at most bound milliseconds old.
// It repeats the bound of the membership table, so that a table that was not
// ticked in time, as after a pause of the entry, does no harm.
func Fresh(bound oleanderspool.Millis) oleanderspool.Filter {
	return FilterFunc(func(_ oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) bool {
		return now-b.ReportedAt <= bound
	})
}

// InSet allows servers of the set that configuration names for the model or
// route. set returns false for a request that has no set; then no server is
// allowed.
func InSet(set func(oleanderspool.Request) (oleanderspool.ServerSetID, bool)) oleanderspool.Filter {
	return FilterFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) bool {
		id, found := set(r)
		return found && slices.Contains(b.Sets, id)
	})
}

// AtRevision allows servers that have at least the configuration revision
// that the request needs.
func AtRevision(needed func(oleanderspool.Request) oleanderspool.Revision) oleanderspool.Filter {
	return FilterFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) bool {
		return b.Revision >= needed(r)
	})
}

// FitsMemory allows servers whose engine memory can hold the request. A server
// that has not reported its memory is allowed. Prompts that no server holds
// need a group, see [Router.PlanGroup].
func FitsMemory() oleanderspool.Filter {
	return FilterFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) bool {
		return r.Kind != oleanderspool.KindModel || b.Load.CapacityTokens == 0 || RequiredMemory(r) <= b.Load.CapacityTokens
	})
}

// RequiredMemory returns the engine memory that a request takes, in tokens: its prompt
// and the longest answer.
func RequiredMemory(r oleanderspool.Request) int64 {
	return int64(r.PromptTokens) + int64(r.MaxTokens)
}
