// Package validation checks an operator's configuration before it is sent: for
// errors, for entries that can never match, for limits that contradict each other,
// and for differences from the version in force. It has no I/O and does not know the
// names that the operator writes; a problem's position is a [Path].
package validation

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// Document is a configuration as it was written: entries in their order, and numbers
// that the decoder for serving would correct, such as negative ones. Durations of 0
// mean that none is set.
type Document struct {
	Version      int64
	Limits       directory.Limits
	Routes       []Route
	Services     []Service
	Accounts     []Account
	RequiresKeys bool
}

// Route is a route as it was written.
type Route struct {
	directory.Route
	KindText  string // as written
	KindKnown bool
	Weighted  bool // Services come from a list with weights
}

// Service is a service as it was written.
type Service struct {
	Name           string
	ColdRate       float64              // requests per second to a cold server; 0 for no limit
	ColdTime       oleanderspool.Millis // how long a server is cold after its start
	MaxConnections int64                // of a server; 0 if not stated
	Engine         *directory.Engine    // as written, also if it cannot be modelled; nil for a plain service
	PromptTokens   float64              // usual length of a prompt; 0 if not stated
}

// Account is a client account as it was written.
type Account struct {
	directory.Account
	Keys []string
}

// Field identifies a part of a configuration.
type Field int

// The parts of a configuration, in the order of findings.
const (
	Version Field = iota
	Limits
	HeaderBytes
	BodyBytes
	HeaderTimeout
	IdleTimeout
	Routes
	Services
	Accounts
	Name
	Host
	PathPrefix
	Kind
	Timeout
	TTFTGoal
	InterTokenGoal
	Priority
	Attempts
	ServiceName
	Backends
	BackendService
	Weight
	Public
	Resumable
	ColdRate
	ColdTime
	MaxConnections
	Engine
	Slots
	KVCacheTokens
	StepMillis
	SequenceCost
	ContextCost
	PrefillRate
	AttentionCost
	PrefillChunk
	StepsPerPass
	ShardStepMillis
	MeanAnswerTokens
	PromptTokens
	Delays
	Keys
	FieldCount // number of fields
)

// Step is one part of a path.
type Step struct {
	Field Field
	Index int // in a list; -1 for none
}

// Path is the position of a problem, from the outside inwards.
type Path []Step

func path(fields ...Field) Path {
	return Path{}.With(fields...)
}

func item(list Field, index int, fields ...Field) Path {
	return Path{{list, index}}.With(fields...)
}

// With returns the path of a part of the value at p.
func (p Path) With(fields ...Field) Path {
	p = slices.Clone(p)
	for _, f := range fields {
		p = append(p, Step{f, -1})
	}
	return p
}

// Item returns the path of an item of a list within the value at p.
func (p Path) Item(list Field, index int) Path {
	return append(slices.Clone(p), Step{list, index})
}

func (p Path) compare(other Path) int {
	return slices.CompareFunc(p, other, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.Field, b.Field), cmp.Compare(a.Index, b.Index))
	})
}

// Problem is something that was found in a configuration.
type Problem struct {
	Path     Path
	Previous bool // Path lies in the version in force
	Severity oleanderspool.Severity
	Message  string // without API keys
}

// Sort sorts problems by version, position, severity and message.
func Sort(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		if a.Previous != b.Previous {
			if b.Previous {
				return -1
			}
			return 1
		}
		return cmp.Or(a.Path.compare(b.Path), cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Message, b.Message))
	})
}
