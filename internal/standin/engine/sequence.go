package engine

import (
	"github.com/oleanderspool/oleanderspool/internal/broadcast"
)

// sequence is a request in the engine.
type sequence struct {
	owner    string // attempt
	memory   string // owner of the memory: the attempt, or the group
	model    string // with adapter, as the request names it
	prompt   string
	prefixes []uint64
	start    int   // position of the first token to generate
	limit    int   // tokens to generate
	need     int64 // memory, in tokens
	share    int64 // number of engines that share the work
	priority int
	arrival  int64

	cached    int64 // tokens of the prompt found in the prefix cache
	prefill   int64 // tokens left to prefill on this engine
	prefilled int64 // tokens prefilled on this engine
	generated int
	finish    string // set when generation has ended
	failure   string // set when the engine has given the request up
	crashed   bool   // the connection ends without a word
	changed   chan struct{}
}

// before tells which of two sequences is served first.
func (s *sequence) before(o *sequence) int {
	if s.priority != o.priority {
		return o.priority - s.priority
	}
	return int(s.arrival - o.arrival)
}

// notify wakes the handler that writes the answer.
func (s *sequence) notify() {
	broadcast.Wake(s.changed)
}

func (s *sequence) ended() bool {
	return s.finish != "" || s.failure != "" || s.crashed
}
