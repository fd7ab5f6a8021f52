package validation

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// fieldRule compares one field of two versions of a value.
type fieldRule[T any] struct {
	fields  []Field
	value   func(T) any
	reduces func(before, after T) bool // whether the change takes something away from callers; nil for never
	applies func(after T) bool         // nil for always
}

// changed and the functions after it are the rules by which a change takes something
// away from callers.
func changed[T any](_, _ T) bool { return true }

// lower is for values where 0 means no limit.
func lower[T any, N cmp.Ordered](value func(T) N) func(before, after T) bool {
	return func(before, after T) bool {
		var none N
		b, a := value(before), value(after)
		return a != none && (b == none || a < b)
	}
}

// lowerOrDefault is for values where 0 stands for a default, which may be lower than
// the value before.
func lowerOrDefault[T any, N cmp.Ordered](value func(T) N) func(before, after T) bool {
	return func(before, after T) bool {
		var unset N
		b, a := value(before), value(after)
		return a == unset || b == unset || a < b
	}
}

var limitRules = []fieldRule[directory.Limits]{
	{fields: []Field{HeaderBytes}, value: func(l directory.Limits) any { return l.HeaderBytes }, reduces: lower(func(l directory.Limits) int { return l.HeaderBytes })},
	{fields: []Field{BodyBytes}, value: func(l directory.Limits) any { return l.BodyBytes }, reduces: lowerOrDefault(func(l directory.Limits) int64 { return l.BodyBytes })},
	{fields: []Field{HeaderTimeout}, value: func(l directory.Limits) any { return l.HeaderTimeout }, reduces: lowerOrDefault(func(l directory.Limits) oleanderspool.Millis { return l.HeaderTimeout })},
	{fields: []Field{IdleTimeout}, value: func(l directory.Limits) any { return l.IdleTimeout }, reduces: lowerOrDefault(func(l directory.Limits) oleanderspool.Millis { return l.IdleTimeout })},
}

var routeFieldRules = []fieldRule[Route]{
	{fields: []Field{Host}, value: func(r Route) any { return directory.HostName(r.Host) }, reduces: changed[Route]},
	{fields: []Field{PathPrefix}, value: func(r Route) any { return r.PathPrefix }, reduces: changed[Route]},
	{fields: []Field{Kind}, value: func(r Route) any { return strings.ToLower(r.KindText) }, reduces: changed[Route]},
	{fields: []Field{Timeout}, value: func(r Route) any { return r.Timeout }, reduces: lower(func(r Route) oleanderspool.Millis { return r.Timeout })},
	{fields: []Field{TTFTGoal}, value: func(r Route) any { return r.TTFTGoal }},
	{fields: []Field{InterTokenGoal}, value: func(r Route) any { return r.InterTokenGoal }},
	{fields: []Field{Priority}, value: func(r Route) any { return r.Priority }, reduces: func(b, a Route) bool { return a.Priority > b.Priority }},
	{fields: []Field{Attempts}, value: func(r Route) any { return r.Attempts }, reduces: func(b, a Route) bool { return a.Attempts < b.Attempts }},
	{fields: []Field{ServiceName}, value: func(r Route) any { return serviceList(r) }, reduces: movesService, applies: func(r Route) bool { return !r.Weighted }},
	{fields: []Field{Backends}, value: func(r Route) any { return serviceList(r) }, reduces: movesService, applies: func(r Route) bool { return r.Weighted }},
	{fields: []Field{Public}, value: func(r Route) any { return r.Public }, reduces: func(_, a Route) bool { return !a.Public }},
	{fields: []Field{Resumable}, value: func(r Route) any { return r.Resumable }, reduces: func(_, a Route) bool { return !a.Resumable }},
}

var serviceFieldRules = []fieldRule[Service]{
	{fields: []Field{ColdRate}, value: func(s Service) any { return s.ColdRate }, reduces: lower(func(s Service) float64 { return s.ColdRate })},
	{fields: []Field{ColdTime}, value: func(s Service) any { return s.ColdTime }},
	{fields: []Field{MaxConnections}, value: func(s Service) any { return s.MaxConnections }, reduces: lower(func(s Service) int64 { return s.MaxConnections })},
	{fields: []Field{Engine}, value: func(s Service) any { return s.Engine != nil }},
	engineRule(Slots, func(e directory.Engine) any { return e.Slots }),
	engineRule(KVCacheTokens, func(e directory.Engine) any { return e.KVCacheTokens }),
	engineRule(StepMillis, func(e directory.Engine) any { return e.StepMillis }),
	engineRule(SequenceCost, func(e directory.Engine) any { return e.SequenceCost }),
	engineRule(ContextCost, func(e directory.Engine) any { return e.ContextCost }),
	engineRule(PrefillRate, func(e directory.Engine) any { return math.Round(e.PrefillRate*1e6) / 1e3 }),
	engineRule(AttentionCost, func(e directory.Engine) any { return e.AttentionCost }),
	engineRule(PrefillChunk, func(e directory.Engine) any { return e.PrefillChunk }),
	engineRule(StepsPerPass, func(e directory.Engine) any { return e.StepsPerPass }),
	engineRule(ShardStepMillis, func(e directory.Engine) any { return e.ShardStepMillis }),
	engineRule(MeanAnswerTokens, func(e directory.Engine) any { return e.MeanAnswerTokens }),
	{fields: []Field{Engine, PromptTokens}, value: func(s Service) any { return s.PromptTokens }},
	engineRule(Delays, func(e directory.Engine) any { return fmt.Sprint(e.Delays) }),
}

// engineRule compares a field of the engine. A service that gets or loses its engine
// is one change.
func engineRule(field Field, value func(directory.Engine) any) fieldRule[Service] {
	return fieldRule[Service]{fields: []Field{Engine, field}, value: func(s Service) any {
		if s.Engine == nil {
			return nil
		}
		return value(*s.Engine)
	}}
}

var accountRules = []fieldRule[Account]{
	{fields: []Field{Priority}, value: func(a Account) any { return accountPriority(a) }, reduces: func(b, a Account) bool {
		return a.HasPriority && b.HasPriority && a.Priority > b.Priority
	}},
}

func accountPriority(a Account) string {
	if !a.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(a.Priority)
}

// serviceList returns the services of a route with their weights.
func serviceList(r Route) string {
	var b strings.Builder
	for i, s := range r.Services {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%s", s.Service)
		if r.Weighted {
			fmt.Fprintf(&b, " (%v)", s.Weight)
		}
	}
	return b.String()
}

// movesService reports whether a route gets or loses a service.
func movesService(before, after Route) bool {
	return !slices.Equal(reached(before), reached(after))
}

// reached returns the sorted names of the services that requests of a route reach.
func reached(r Route) []string {
	var names []string
	for _, s := range r.Services {
		if s.Weight > 0 {
			names = append(names, s.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Compare returns what differs between the version in force and the next one, sorted.
// Changes that take something away from callers are warnings; a version that would not
// come into force is an error.
func Compare(before, after Document) []Problem {
	c := &comparer{}
	if after.Version <= before.Version {
		c.add(path(Version), oleanderspool.SeverityError, "%d is not above the version in force, %d", after.Version, before.Version)
	}
	compareFields(c, path(Limits), "the limit", limitRules, before.Limits, after.Limits)
	if after.RequiresKeys != before.RequiresKeys {
		c.add(path(Accounts), severity(after.RequiresKeys), "keys are required: changed from %v to %v", before.RequiresKeys, after.RequiresKeys)
	}
	compareLists(c, Routes, "route", oleanderspool.SeverityWarning, routeFieldRules, before.Routes, after.Routes, func(r Route) string { return r.Name })
	compareLists(c, Services, "service", oleanderspool.SeverityInfo, serviceFieldRules, before.Services, after.Services, func(s Service) string { return s.Name })
	compareLists(c, Accounts, "account", oleanderspool.SeverityWarning, accountRules, before.Accounts, after.Accounts, func(a Account) string { return a.Name })
	c.compareKeys(before, after)
	Sort(c.problems)
	return c.problems
}

// comparer collects the differences.
type comparer struct {
	problems []Problem
}

func (c *comparer) add(p Path, s oleanderspool.Severity, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: p, Severity: s, Message: fmt.Sprintf(format, args...)})
}

func (c *comparer) addPrevious(p Path, s oleanderspool.Severity, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: p, Previous: true, Severity: s, Message: fmt.Sprintf(format, args...)})
}

func severity(reduces bool) oleanderspool.Severity {
	if reduces {
		return oleanderspool.SeverityWarning
	}
	return oleanderspool.SeverityInfo
}

// compareLists compares the entries of a list by name.
func compareLists[T any](c *comparer, list Field, what string, removal oleanderspool.Severity, rules []fieldRule[T], before, after []T, name func(T) string) {
	old, next := indexes(before, name), indexes(after, name)
	for n, i := range old {
		if _, found := next[n]; !found {
			c.addPrevious(item(list, i), removal, "%s %q was removed", what, n)
		}
	}
	for n, i := range next {
		o, found := old[n]
		if !found {
			c.add(item(list, i), oleanderspool.SeverityInfo, "%s %q was added", what, n)
			continue
		}
		compareFields(c, item(list, i), fmt.Sprintf("%s %q", what, n), rules, before[o], after[i])
	}
}

// indexes returns the index of the first entry with each name.
func indexes[T any](list []T, name func(T) string) map[string]int {
	m := make(map[string]int, len(list))
	for i, x := range list {
		if _, found := m[name(x)]; !found && name(x) != "" {
			m[name(x)] = i
		}
	}
	return m
}

func compareFields[T any](c *comparer, p Path, what string, rules []fieldRule[T], before, after T) {
	for _, r := range rules {
		b, a := r.value(before), r.value(after)
		if r.applies != nil && !r.applies(after) || b == a || b == nil || a == nil {
			continue
		}
		c.add(p.With(r.fields...), severity(r.reduces != nil && r.reduces(before, after)), "%s changed from %v to %v", what, b, a)
	}
}

// compareKeys compares API keys, which messages do not contain.
func (c *comparer) compareKeys(before, after Document) {
	old, next := keyOwners(before), keyOwners(after)
	for key, o := range old {
		owner, found := next[key]
		switch {
		case !found:
			c.addPrevious(o.path, severity(after.RequiresKeys), "a key of account %q was removed", o.account)
		case owner.account != o.account:
			c.add(owner.path, oleanderspool.SeverityWarning, "a key was moved from account %q to %q", o.account, owner.account)
		}
	}
	for key, owner := range next {
		if _, found := old[key]; !found {
			c.add(owner.path, oleanderspool.SeverityInfo, "a key of account %q was added", owner.account)
		}
	}
}

// keyOwner is the account that a key belongs to, and the position of the key.
type keyOwner struct {
	account string
	path    Path
}

// keyOwners returns the owners by key. As in service, the last account with a key
// owns it.
func keyOwners(d Document) map[string]keyOwner {
	owners := make(map[string]keyOwner)
	for i, a := range d.Accounts {
		for k, key := range a.Keys {
			owners[key] = keyOwner{a.Name, item(Accounts, i).Item(Keys, k)}
		}
	}
	return owners
}
