// Package directory holds an entry's copy of the operator's configuration
// (routes, services, client accounts) and of the registry of backend servers.
// The copies are immutable values. A follower keeps them up to date from the
// store and records up to which instant the configuration is confirmed.
package directory

import (
	"net"
	"strings"

	"github.com/oleanderspool/oleanderspool"
)

// Kind is how the requests of a route are executed and answered.
type Kind int

// The kinds of route.
const (
	// KindOnce requests are executed at most once.
	KindOnce Kind = iota
	// KindIdempotent requests may be executed more than once.
	KindIdempotent
	// KindStream requests are answered by a stream of events.
	KindStream
)

// String returns the name that is used in logs.
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

// WeightedService is a service of a route and its share of the route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route maps the requests of a host and a path prefix to services.
type Route struct {
	Name           string
	Host           string // lower case, without a port
	PathPrefix     string // begins and ends with a slash
	Kind           Kind
	Resumable      bool                 // a broken stream may be resumed on another backend server
	Public         bool                 // requests need no API key
	Timeout        oleanderspool.Millis // longest time to a complete answer; 0 for none
	TTFTGoal       oleanderspool.Millis // longest time to the first event, or to the answer, at which a request meets its goal
	InterTokenGoal oleanderspool.Millis // longest pause between events at which a request meets its goal
	Priority       int                  // 0 is the most urgent
	Attempts       int                  // maximum number of backend servers that a request is sent to
	Services       []WeightedService    // not to be modified
}

// Repeatable reports whether a request may be executed more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service is a group of backend servers that run the same program.
type Service struct {
	Name   string
	Engine *Engine // nil for a plain service
	// ColdRate is the number of requests per second that a backend server tolerates
	// while it is slow after its start; 0 for no limit.
	ColdRate float64
}

// Engine describes the inference engine that the backend servers of a service
// run: its capacity and the coefficients by which its latency is predicted.
type Engine struct {
	Slots            int     // maximum batch size, in requests
	KVCacheTokens    int64   // capacity of the KV cache, in tokens
	StepMillis       float64 // fixed cost of a step
	SequenceCost     float64 // cost of a step per decoding request, in ms
	ContextCost      float64 // cost of a step per 1,000 context tokens of a decoding request, in ms
	PrefillRate      float64 // prompt tokens prefilled per ms
	AttentionCost    float64 // prefill cost per million pairs of a prompt token and an earlier one, in ms
	PrefillChunk     int64   // maximum number of prompt tokens prefilled per step
	StepsPerPass     int     // steps of a scheduling pass while requests decode
	ShardStepMillis  float64 // added to each step of a prompt whose shards lie on several backend servers
	MeanAnswerTokens float64 // mean length of an answer
	MaxExtraServers  int     // maximum number of additional backend servers that one prompt is sharded over
	Delays           []Delay // between data centres; not to be modified
}

// Delay is the network delay between two data centres, the same in both directions.
type Delay struct {
	Between [2]oleanderspool.DataCentreID
	OneWay  float64 // in ms
}

// defaultDelay is the one-way delay in ms between two data centres whose delay is not
// configured. It is above that of a region (0.5 ms), so that a known near data centre
// is preferred.
const defaultDelay = 2

// Delay returns the one-way network delay between two data centres in ms: 0 within one,
// and a default for a pair that is not configured or without an engine.
func (e *Engine) Delay(a, b oleanderspool.DataCentreID) float64 {
	if a == b {
		return 0
	}
	if e != nil {
		for _, d := range e.Delays {
			if d.Between == [2]oleanderspool.DataCentreID{a, b} || d.Between == [2]oleanderspool.DataCentreID{b, a} {
				return d.OneWay
			}
		}
	}
	return defaultDelay
}

// Account is a client account.
type Account struct {
	Name        string
	Priority    int
	HasPriority bool // Priority overrides the route's priority
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time from the first byte of a request to the end of
	// its header.
	HeaderTimeout oleanderspool.Millis
	IdleTimeout   oleanderspool.Millis
}

// Configuration is a version of the operator's configuration. It is immutable.
type Configuration struct {
	Version      int64
	Limits       Limits
	requiresKeys bool
	limitsCold   bool
	accounts     map[string]Account // by API key
	services     map[string]Service
	hosts        map[string][]Route
}

// NewConfiguration returns a configuration. accounts is keyed by API key; with a
// nil map requests need no key.
func NewConfiguration(version int64, limits Limits, routes []Route, services []Service, accounts map[string]Account) *Configuration {
	c := &Configuration{
		Version:      version,
		Limits:       limits,
		requiresKeys: accounts != nil,
		accounts:     accounts,
		services:     make(map[string]Service, len(services)),
		hosts:        make(map[string][]Route),
	}
	for _, s := range services {
		c.services[s.Name] = s
		c.limitsCold = c.limitsCold || s.ColdRate > 0
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

// Route returns the route of a host whose prefix is the longest one that matches path.
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

// RequiresKeys reports whether requests to routes that are not public need an API key.
func (c *Configuration) RequiresKeys() bool {
	return c.requiresKeys
}

// LimitsColdServers reports whether the requests to cold servers of a service are limited.
func (c *Configuration) LimitsColdServers() bool {
	return c.limitsCold
}

// Account returns the client account that an API key belongs to.
func (c *Configuration) Account(key string) (Account, bool) {
	a, found := c.accounts[key]
	return a, found
}

// Service returns the service with a name.
func (c *Configuration) Service(name string) (Service, bool) {
	s, found := c.services[name]
	return s, found
}

// Server is a registered backend server. It is immutable.
type Server struct {
	Instance   oleanderspool.InstanceID
	Service    string
	Address    string // IP address and port
	DataCentre oleanderspool.DataCentreID
	Started    int64 // wall-clock time of its start, in ms; distinguishes processes of one instance
	Slots      int
	Draining   bool
	// ColdUntil is the local instant until which a server that has just started is
	// still slow.
	ColdUntil oleanderspool.Millis
}

// ServerRun identifies one run of a server: a server that starts again, or another one
// at the same address, is another run.
type ServerRun struct {
	Instance oleanderspool.InstanceID
	Address  string
	Started  int64
}

// Run returns the run of the server that the record describes.
func (s Server) Run() ServerRun {
	return ServerRun{Instance: s.Instance, Address: s.Address, Started: s.Started}
}

// SameRun reports whether two records describe the same process of a server.
func (s Server) SameRun(other Server) bool {
	return s.Run() == other.Run()
}
