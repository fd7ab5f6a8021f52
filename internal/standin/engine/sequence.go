package engine

import (
	"github.com/oleanderspool/oleanderspool/internal/broadcast"
)

// sequence is a request that the engine has accepted.
type sequence struct {
	owner        string // the attempt's ID
	memoryOwner  string // owner of the memory: the attempt, or the group
	model        string // with adapter, as the request names it
	prompt       string
	prefixes     []uint64
	start        int   // position of the first token to generate
	maxTokens    int   // maximum number of tokens to generate
	neededTokens int64 // memory required on this engine
	engines      int64 // number of engines that share the prompt
	priority     int
	arrival      int64

	cachedTokens     int64 // tokens of the prompt found in the prefix cache
	remainingPrefill int64 // tokens left to prefill on this engine
	prefilledTokens  int64 // tokens prefilled on this engine
	generated        int
	finishReason     string // set when generation has finished
	failure          string // error message, set when the request has failed
	crashed          bool   // the connection is closed without the rest of the response
	changed          chan struct{}
}

// compare orders sequences by descending priority, then by arrival.
func (s *sequence) compare(o *sequence) int {
	if s.priority != o.priority {
		return o.priority - s.priority
	}
	return int(s.arrival - o.arrival)
}

// notify wakes the handler that writes the sequence's answer.
func (s *sequence) notify() {
	broadcast.Wake(s.changed)
}

func (s *sequence) ended() bool {
	return s.finishReason != "" || s.failure != "" || s.crashed
}
