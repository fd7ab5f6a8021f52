package placement

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// pairUnit is the number of pairs of tokens that [directory.Engine.PairCost] is
// stated for.
const pairUnit = 1e6

// defaultEngine stands for a service whose engine is not described.
var defaultEngine = directory.Engine{
	Slots: 8, MemoryTokens: math.MaxInt32, StepMillis: 1, ReadRate: 256, Chunk: 2048, Stride: 1,
}

// readMillis returns the time in ms that an idle engine takes to read a prompt.
func readMillis(e *directory.Engine, tokens int64) float64 {
	t := float64(tokens)
	return t/e.ReadRate + t*t/2/pairUnit*e.PairCost
}

// passMillis returns the time in ms of a pass that only writes for a number of
// requests with the given sum of contexts in tokens.
func passMillis(e *directory.Engine, writers int, context int64) float64 {
	step := e.StepMillis + float64(writers)*e.SequenceCost + float64(context)/1000*e.ContextCost
	return float64(e.Stride) * step
}

// readPerPass returns the largest part, in ms, of a prompt's reading that takes
// place within one pass.
func readPerPass(e *directory.Engine, tokens int64, read float64) float64 {
	limit := e.Chunk * int64(e.Stride)
	if tokens <= limit || tokens == 0 {
		return read
	}
	// The last piece has the most earlier tokens and takes longest.
	t, l := float64(tokens), float64(limit)
	return l/e.ReadRate + l*(t-l/2)/pairUnit*e.PairCost
}

// answerMillis returns the time in ms that writing an answer takes with passes
// of the given length.
func answerMillis(e *directory.Engine, answer int64, pass float64) float64 {
	return math.Ceil(float64(answer)/float64(e.Stride)) * pass
}

// millis converts a span of the model, rounded up.
func millis(m float64) oleanderspool.Millis {
	return oleanderspool.Millis(math.Ceil(m))
}
