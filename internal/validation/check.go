package validation

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// Bounds are the limits of the program and of an instance that a configuration is
// compared with.
type Bounds struct {
	BufferBytes int64 // memory of an instance for the buffers of all requests; 0 if unknown
	MaxRank     int   // least urgent priority that is distinguished
}

// checker collects the problems of one document.
type checker struct {
	Document
	bounds   Bounds
	problems []Problem
	services map[string]bool // defined services
	used     map[string]bool // services that a route names
	hasKeys  bool            // an account has a key
}

// Check returns the problems of a configuration, sorted.
func Check(d Document, bounds Bounds) []Problem {
	c := &checker{Document: d, bounds: bounds, services: make(map[string]bool), used: make(map[string]bool)}
	for _, s := range d.Services {
		c.services[s.Name] = true
	}
	c.hasKeys = slices.ContainsFunc(d.Accounts, func(a Account) bool { return len(a.Keys) > 0 })
	c.checkLimits()
	c.checkNames()
	for i, r := range d.Routes {
		for _, rule := range routeRules {
			rule(c, item(Routes, i), r)
		}
	}
	for i, s := range d.Services {
		for _, rule := range serviceRules {
			rule(c, item(Services, i), s)
		}
	}
	c.checkPaths()
	c.checkAccounts()
	Sort(c.problems)
	return c.problems
}

// routeRules are the checks of a single route.
var routeRules = []func(*checker, Path, Route){
	(*checker).routeHost,
	(*checker).routePrefix,
	(*checker).routeNumbers,
	(*checker).routeKind,
	(*checker).routeServices,
	(*checker).routeWeights,
	(*checker).routeGoals,
	(*checker).routeSilence,
	(*checker).routeAttempts,
	(*checker).routeAccess,
}

// serviceRules are the checks of a single service.
var serviceRules = []func(*checker, Path, Service){
	(*checker).serviceNumbers,
	(*checker).serviceUse,
	(*checker).serviceWarmup,
	(*checker).serviceEngine,
	(*checker).serviceConnections,
	(*checker).servicePrompt,
}

func (c *checker) errorf(p Path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: p, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) warnf(p Path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: p, Severity: oleanderspool.SeverityWarning, Message: fmt.Sprintf(format, args...)})
}

// number is a number that must not be negative.
type number struct {
	field Field
	value float64
}

func (c *checker) notNegative(p Path, numbers ...number) {
	for _, n := range numbers {
		if n.value < 0 || math.IsNaN(n.value) {
			c.errorf(p.With(n.field), "%v is negative", n.value)
		}
	}
}

func (c *checker) checkLimits() {
	l, p := c.Limits, path(Limits)
	c.notNegative(p, number{HeaderBytes, float64(l.HeaderBytes)}, number{BodyBytes, float64(l.BodyBytes)},
		number{HeaderTimeout, float64(l.HeaderTimeout)}, number{IdleTimeout, float64(l.IdleTimeout)})
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.warnf(p.With(HeaderTimeout), "%d ms are longer than the idle timeout of %d ms", l.HeaderTimeout, l.IdleTimeout)
	}
	if c.bounds.BufferBytes > 0 && l.BodyBytes > c.bounds.BufferBytes {
		c.warnf(p.With(BodyBytes), "a body of %d bytes does not fit into the %d bytes that an instance with these settings has for buffers", l.BodyBytes, c.bounds.BufferBytes)
	}
}

// checkNames reports entries without a name and names that are used twice.
func (c *checker) checkNames() {
	names := newSeen(c)
	for i, r := range c.Routes {
		names.add(item(Routes, i, Name), Routes, r.Name)
	}
	for i, s := range c.Services {
		names.add(item(Services, i, Name), Services, s.Name)
	}
	for i, a := range c.Accounts {
		names.add(item(Accounts, i, Name), Accounts, a.Name)
	}
}

type nameKey struct {
	list Field
	name string
}

// seen finds names that occur twice in a list.
type seen struct {
	checker *checker
	first   map[nameKey]int
}

func newSeen(c *checker) seen {
	return seen{checker: c, first: make(map[nameKey]int)}
}

func (s seen) add(p Path, list Field, name string) {
	if name == "" {
		s.checker.errorf(p, "is empty")
		return
	}
	key := nameKey{list, name}
	if first, found := s.first[key]; found {
		s.checker.errorf(p, "%q is also the name of the entry with index %d", name, first)
		return
	}
	s.first[key] = p[0].Index
}

// checkPaths reports two routes of the same host and prefix. No other route is
// shadowed completely, since the longest prefix wins and no prefix is as long as all
// paths below it.
func (c *checker) checkPaths() {
	type place struct{ host, prefix string }
	first := make(map[place]int)
	for i, r := range c.Routes {
		key := place{directory.HostName(r.Host), r.PathPrefix}
		if at, found := first[key]; found {
			c.errorf(item(Routes, i, PathPrefix), "never matches: the route with index %d has the same host and prefix", at)
			continue
		}
		first[key] = i
	}
}

func (c *checker) checkAccounts() {
	type place struct{ account, key int }
	owners := make(map[string]place)
	for i, a := range c.Accounts {
		p := item(Accounts, i)
		if a.HasPriority {
			c.checkPriority(p.With(Priority), a.Priority)
		}
		if len(a.Keys) == 0 {
			c.warnf(p.With(Keys), "the account has no key, and keys are required")
		}
		for k, key := range a.Keys {
			owner, found := owners[key]
			switch {
			case key == "":
				c.errorf(p.Item(Keys, k), "an empty key admits requests without a key")
			case found && owner.account == i:
				c.errorf(p.Item(Keys, k), "is also the key with index %d", owner.key)
			case found:
				c.errorf(p.Item(Keys, k), "is also a key of the account with index %d", owner.account)
			default:
				owners[key] = place{i, k}
			}
		}
	}
}

func (c *checker) checkPriority(p Path, rank int) {
	switch {
	case rank < 0:
		c.warnf(p, "%d is not told from 0, the most urgent priority", rank)
	case rank > c.bounds.MaxRank:
		c.warnf(p, "%d is not told from %d, the least urgent priority", rank, c.bounds.MaxRank)
	}
}

// hostCharacters are the characters of a host besides letters and digits. Wildcards
// are not supported, and callers send other characters in their ASCII form.
const hostCharacters = "-._:[]"

func (c *checker) routeHost(p Path, r Route) {
	host := directory.HostName(r.Host)
	if host == "" {
		c.warnf(p.With(Host), "never matches: no host is given")
		return
	}
	for _, x := range host {
		if (x < 'a' || x > 'z') && (x < '0' || x > '9') && !strings.ContainsRune(hostCharacters, x) {
			c.warnf(p.With(Host), "never matches: %q is not part of a host", x)
			return
		}
	}
}

func (c *checker) routePrefix(p Path, r Route) {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.errorf(p.With(PathPrefix), "%q does not begin and end with a slash", r.PathPrefix)
		return
	}
	// A path is compared as the caller wrote it, up to the query.
	if i := strings.IndexFunc(r.PathPrefix, func(x rune) bool { return x <= ' ' || x == '?' || x == 0x7f }); i >= 0 {
		c.warnf(p.With(PathPrefix), "never matches: %q is not part of a path", r.PathPrefix[i])
	}
}

func (c *checker) routeNumbers(p Path, r Route) {
	c.notNegative(p, number{Timeout, float64(r.Timeout)}, number{TTFTGoal, float64(r.TTFTGoal)}, number{InterTokenGoal, float64(r.InterTokenGoal)})
	if r.Attempts < 1 {
		c.errorf(p.With(Attempts), "%d is below 1", r.Attempts)
	}
	c.checkPriority(p.With(Priority), r.Priority)
}

func (c *checker) routeKind(p Path, r Route) {
	if !r.KindKnown {
		c.errorf(p.With(Kind), "unknown kind %q", r.KindText)
	}
}

func (c *checker) routeServices(p Path, r Route) {
	for i, s := range r.Services {
		c.used[s.Service] = true
		if !c.services[s.Service] {
			c.errorf(r.servicePath(p, i), "service %q is not defined", s.Service)
		}
	}
}

// servicePath returns the path of the name of one of the route's services.
func (r Route) servicePath(p Path, index int) Path {
	if !r.Weighted {
		return p.With(ServiceName)
	}
	return p.Item(Backends, index).With(BackendService)
}

func (c *checker) routeWeights(p Path, r Route) {
	positive := false
	for i, s := range r.Services {
		at := p.Item(Backends, i).With(Weight)
		c.notNegative(p.Item(Backends, i), number{Weight, s.Weight})
		if s.Weight == 0 {
			c.warnf(at, "the service never gets a request: its weight is 0")
		}
		positive = positive || s.Weight > 0
	}
	if !positive && len(r.Services) > 0 {
		c.errorf(p.With(Backends), "no service has a weight above 0")
	}
}

func (c *checker) routeGoals(p Path, r Route) {
	if r.Timeout <= 0 {
		return
	}
	if r.TTFTGoal > r.Timeout {
		c.warnf(p.With(TTFTGoal), "%d ms are longer than the timeout of %d ms", r.TTFTGoal, r.Timeout)
	}
	if r.InterTokenGoal > r.Timeout {
		c.warnf(p.With(InterTokenGoal), "%d ms are longer than the timeout of %d ms", r.InterTokenGoal, r.Timeout)
	}
}

// routeSilence reports a route whose connections may carry nothing for longer than
// the idle timeout. An entry does not close them, but a balancer with the same
// timeout does. An answer that is not a stream comes as a whole.
func (c *checker) routeSilence(p Path, r Route) {
	idle := c.Limits.IdleTimeout
	if idle <= 0 {
		return
	}
	field, silence := Timeout, r.Timeout
	if r.Kind == directory.KindStream {
		field, silence = TTFTGoal, r.TTFTGoal
		if r.InterTokenGoal > silence {
			field, silence = InterTokenGoal, r.InterTokenGoal
		}
	}
	if silence > idle {
		c.warnf(p.With(field), "the connection may carry nothing for %d ms, longer than the idle timeout of %d ms", silence, idle)
	}
}

func (c *checker) routeAttempts(p Path, r Route) {
	if r.Attempts > 1 && r.KindKnown && !r.Repeatable() {
		c.warnf(p.With(Attempts), "%d attempts, but requests may not be repeated: only those that a server has not run are sent again", r.Attempts)
	}
}

func (c *checker) routeAccess(p Path, r Route) {
	if c.RequiresKeys && !r.Public && !c.hasKeys {
		c.warnf(p.With(Public), "no account can reach the route: it is not public, and no account has a key")
	}
}

func (c *checker) serviceNumbers(p Path, s Service) {
	c.notNegative(p, number{ColdRate, s.ColdRate}, number{ColdTime, float64(s.ColdTime)}, number{MaxConnections, float64(s.MaxConnections)})
}

func (c *checker) serviceUse(p Path, s Service) {
	if !c.used[s.Name] {
		c.warnf(p.With(Name), "no route uses the service %q", s.Name)
	}
}

func (c *checker) serviceWarmup(p Path, s Service) {
	if s.ColdTime > 0 && s.ColdRate == 0 {
		c.warnf(p.With(ColdRate), "servers are cold for %d ms, but the requests to them are not limited", s.ColdTime)
	}
}

func (c *checker) serviceEngine(p Path, s Service) {
	e := s.Engine
	if e == nil {
		return
	}
	p = p.With(Engine)
	if e.Slots < 1 {
		c.errorf(p.With(Slots), "%d slots: the engine cannot be modelled", e.Slots)
	}
	if !(e.PrefillRate > 0) {
		c.errorf(p.With(PrefillRate), "must be above 0: the engine cannot be modelled")
	}
	c.notNegative(
		p, number{KVCacheTokens, float64(e.KVCacheTokens)}, number{StepMillis, e.StepMillis}, number{SequenceCost, e.SequenceCost},
		number{ContextCost, e.ContextCost}, number{AttentionCost, e.AttentionCost}, number{PrefillChunk, float64(e.PrefillChunk)},
		number{StepsPerPass, float64(e.StepsPerPass)}, number{ShardStepMillis, e.ShardStepMillis},
		number{MeanAnswerTokens, e.MeanAnswerTokens}, number{PromptTokens, s.PromptTokens},
	)
	for i, d := range e.Delays {
		if d.OneWay < 0 {
			c.errorf(p.Item(Delays, i), "%v ms are negative", d.OneWay)
		}
	}
}

func (c *checker) serviceConnections(p Path, s Service) {
	if s.Engine != nil && s.MaxConnections > 0 && int64(s.Engine.Slots) > s.MaxConnections {
		c.warnf(p.With(Engine, Slots), "%d slots cannot all be used with %d connections", s.Engine.Slots, s.MaxConnections)
	}
}

func (c *checker) servicePrompt(p Path, s Service) {
	if s.Engine != nil && s.Engine.KVCacheTokens > 0 && s.PromptTokens > float64(s.Engine.KVCacheTokens) {
		c.warnf(p.With(Engine, PromptTokens), "a usual prompt of %v tokens is longer than the KV cache of %d", s.PromptTokens, s.Engine.KVCacheTokens)
	}
}
