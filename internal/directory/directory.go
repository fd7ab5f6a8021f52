// Package directory holds what an entry knows of routes, services, client
// accounts and registered backend servers, as immutable values, and how far
// that knowledge is confirmed.
package directory

import (
	"net"
	"strings"

	"github.com/oleanderspool/oleanderspool"
)

// Kind tells how often a request of a route may run.
type Kind int

// The kinds of route.
const (
	// KindOnce requests run at most once.
	KindOnce Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests are answered by a stream of events.
	KindStream
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	default:
		return "once"
	}
}

// WeightedService is a service of a route and its part of the route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route tells where the requests of a host and a path prefix go.
type Route struct {
	Name           string
	Host           string // lower case, without a port
	PathPrefix     string // begins and ends with a slash
	Kind           Kind
	Resumable      bool                 // a stream may go on at another backend server
	Public         bool                 // needs no key
	Timeout        oleanderspool.Millis // longest time to a complete answer; 0 for none
	TTFTGoal       oleanderspool.Millis // time to the first event or the answer that earns full credit
	InterTokenGoal oleanderspool.Millis // longest pause between events that earns full credit
	Priority       int                  // 0 is the most urgent
	Attempts       int                  // most backend servers that a request is sent to
	Services       []WeightedService    // not to be modified
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service is a group of backend servers that run the same program.
type Service struct {
	Name   string
	Engine *Engine // nil for a plain service
}

// Engine describes how the model runners of a service work through requests.
type Engine struct {
	Slots            int     // requests in a batch
	KVCacheTokens    int64   // tokens of KV cache
	StepMillis       float64 // fixed part of a token step
	SequenceCost     float64 // part of a step per writing request, in ms
	ContextCost      float64 // part of a step per 1,000 tokens of context of a writing request, in ms
	PrefillRate      float64 // prompt tokens read per ms
	AttentionCost    float64 // ms per million pairs of a prompt token and an earlier one
	PrefillChunk     int64   // most prompt tokens read per step
	StepsPerPass     int     // steps of a pass with writers
	ShardStepMillis  float64 // added to a step of a prompt that several runners hold
	MeanAnswerTokens float64 // mean answer, in tokens
	MaxHelpers       int     // most helpers of one prompt
}

// Account is a client account.
type Account struct {
	Name        string
	Priority    int
	HasPriority bool // Priority takes precedence over the route's
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the span from the first byte of a request in which its header
	// arrives.
	HeaderTimeout oleanderspool.Millis
	IdleTimeout   oleanderspool.Millis
}

// Configuration is a version of the operator's configuration. It is immutable.
type Configuration struct {
	Version  int64
	Limits   Limits
	keyed    bool
	accounts map[string]Account // by key
	services map[string]Service
	hosts    map[string][]Route
}

// NewConfiguration returns a configuration. accounts is by key; a nil map means
// that requests carry no keys.
func NewConfiguration(version int64, limits Limits, routes []Route, services []Service, accounts map[string]Account) *Configuration {
	c := &Configuration{
		Version:  version,
		Limits:   limits,
		keyed:    accounts != nil,
		accounts: accounts,
		services: make(map[string]Service, len(services)),
		hosts:    make(map[string][]Route),
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		r.Host = HostName(r.Host)
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	return c
}

// HostName returns a host in lower case and without its port.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Route returns the route with the longest prefix of path on a host.
func (c *Configuration) Route(host, path string) (Route, bool) {
	best := -1
	routes := c.hosts[HostName(host)]
	for i, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) && (best < 0 || len(r.PathPrefix) > len(routes[best].PathPrefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return routes[best], true
}

// RequiresKeys reports whether requests carry a key.
func (c *Configuration) RequiresKeys() bool {
	return c.keyed
}

// Account returns the account that holds a key.
func (c *Configuration) Account(key string) (Account, bool) {
	a, found := c.accounts[key]
	return a, found
}

// Service returns a service by name.
func (c *Configuration) Service(name string) (Service, bool) {
	s, found := c.services[name]
	return s, found
}

// Server is a registered backend server. It is immutable.
type Server struct {
	Instance   oleanderspool.InstanceID
	Service    string
	Address    string // IP number and port
	DataCentre oleanderspool.DataCentreID
	Started    int64 // wall clock of its start, in ms; tells runs under one instance apart
	Slots      int
	Draining   bool
	// ColdUntil is the local instant until which the server is slow after its start.
	ColdUntil oleanderspool.Millis
}

// SameRun reports whether two records are about one run of a server.
func (s Server) SameRun(other Server) bool {
	return s.Instance == other.Instance && s.Started == other.Started && s.Address == other.Address
}
