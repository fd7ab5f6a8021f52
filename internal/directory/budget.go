package directory

import (
	"cmp"

	"github.com/oleanderspool/oleanderspool"
)

// Budget divides the times within which changes of the configuration and of the registry
// must be known into the steps of the slowest way by which an entry learns of them: a
// read that was sent just before the change, a connection that has gone silent, and a
// call on a new connection.
type Budget struct {
	// MaxConfigurationAge and MaxServersAge are the times that are divided; 0 for none.
	MaxConfigurationAge, MaxServersAge oleanderspool.Millis
	// CallTimeout is the timeout of a call to the store, in addition to its wait.
	CallTimeout oleanderspool.Millis
	// ReadWait is how long a read waits for a new configuration.
	ReadWait oleanderspool.Millis
	// SharedReadWait is the same while other entries depend on the reads of this one.
	SharedReadWait oleanderspool.Millis
	// ChangeReadInterval is the smallest time between two reads of configurations that
	// other entries have announced, so that several in quick succession are read together.
	ChangeReadInterval oleanderspool.Millis
	// ServerInterval is the time between two reads of the registry. All records that
	// arrive within an interval are fetched by one read.
	ServerInterval oleanderspool.Millis
	// ReadDelay bounds how much later the other entries read the registry.
	ReadDelay oleanderspool.Millis
}

// The parts of the maximum delays. The rest of each, a tenth, covers the call on a new
// connection.
const (
	timeoutPart            = 0.3
	readWaitPart           = 0.6
	sharedReadWaitPart     = 0.35
	changeReadIntervalPart = 0.33
	serverIntervalPart     = 0.4
	readDelayPart          = 0.2
)

const (
	// maxCallTimeout is the timeout of a call when the maximum delays allow a longer one.
	maxCallTimeout = 700 * oleanderspool.Millis(1)
	// minCallTimeout is the shortest timeout of a call. A store that takes longer counts
	// as unreachable.
	minCallTimeout = 150 * oleanderspool.Millis(1)
	// maxReadWait, maxSharedReadWait and maxChangeReadInterval are upper bounds. Subscribers ask
	// for a confirmation at an interval of about a second.
	maxReadWait           = 2500 * oleanderspool.Millis(1)
	maxSharedReadWait     = 1200 * oleanderspool.Millis(1)
	maxChangeReadInterval = oleanderspool.Second
	// defaultMaxDrainDelay applies when none is set.
	defaultMaxDrainDelay = 1500 * oleanderspool.Millis(1)
	// minMaxDelay is the shortest maximum delay that can be kept.
	minMaxDelay = 500 * oleanderspool.Millis(1)
)

// NewBudget returns the budget for the times within which a configuration must be in
// force and a server that leaves must get no more requests; 0 for none. It returns an
// error, and the budget for the shortest time that can be kept, if one is too short.
func NewBudget(maxConfigurationDelay, maxDrainDelay oleanderspool.Millis) (Budget, error) {
	configuration, drain := cmp.Or(maxConfigurationDelay, oleanderspool.Minute), cmp.Or(maxDrainDelay, defaultMaxDrainDelay)
	var err error
	if shortest := min(configuration, drain); shortest < minMaxDelay {
		err = oleanderspool.ErrInvalid.New("a change cannot be known within %d ms; reads of the store need %d ms", int64(shortest), int64(minMaxDelay))
		configuration, drain = max(configuration, minMaxDelay), max(drain, minMaxDelay)
	}
	return Budget{
		MaxConfigurationAge: maxConfigurationDelay, MaxServersAge: maxDrainDelay,
		CallTimeout:        max(minCallTimeout, min(maxCallTimeout, part(configuration, timeoutPart), part(drain, timeoutPart))),
		ReadWait:           min(maxReadWait, part(configuration, readWaitPart)),
		SharedReadWait:     min(maxSharedReadWait, part(configuration, sharedReadWaitPart)),
		ChangeReadInterval: min(maxChangeReadInterval, part(configuration, changeReadIntervalPart)),
		ServerInterval:     part(drain, serverIntervalPart),
		ReadDelay:          part(drain, readDelayPart),
	}, err
}

func part(d oleanderspool.Millis, fraction float64) oleanderspool.Millis {
	return oleanderspool.Millis(float64(d) * fraction)
}
