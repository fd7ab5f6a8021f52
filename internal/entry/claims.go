package entry

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/broadcast"
	"github.com/oleanderspool/oleanderspool/internal/claim"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/observe"
)

const (
	claimReadLimit = 1000
	claimLongPoll  = 5 * oleanderspool.Second
	readRetryDelay = 200 * oleanderspool.Millis(1)
	// confirmTimeout bounds how long a refusal waits for the log to confirm "not
	// run".
	confirmTimeout = 500 * oleanderspool.Millis(1)
)

// claimLog reads the claim stream of the log and appends batches of claims to it.
type claimLog struct {
	log     oleanderspool.Log
	clock   oleanderspool.Clock
	metrics *observe.Metrics

	mu       sync.Mutex
	state    *claim.State
	batcher  *claim.Batcher
	outage   bool
	changed  broadcast.Signal // state or outage has changed
	outcomes map[oleanderspool.AttemptID]chan claim.Event
	wake     chan struct{}
}

func newClaimLog(log oleanderspool.Log, clock oleanderspool.Clock, metrics *observe.Metrics, limits claim.Limits) *claimLog {
	return &claimLog{
		log:      log,
		clock:    clock,
		metrics:  metrics,
		state:    claim.NewState(limits),
		batcher:  claim.NewBatcher(claim.DefaultBatchLimits),
		outage:   true, // until the first successful read
		outcomes: make(map[oleanderspool.AttemptID]chan claim.Event),
		wake:     make(chan struct{}, 1),
	}
}

// read applies the claim stream until ctx ends.
func (c *claimLog) read(ctx context.Context) {
	for ctx.Err() == nil {
		wait := claimLongPoll
		if c.unavailable() {
			wait = 0 // a long poll would delay the detection of the outage's end
		}
		if !c.readOnce(ctx, wait) {
			clock.Sleep(ctx, readRetryDelay)
		}
	}
}

// readOnce reads the records after the state's position and applies them.
// It reports whether the read succeeded.
func (c *claimLog) readOnce(ctx context.Context, wait oleanderspool.Millis) bool {
	c.mu.Lock()
	from := c.state.Position() + 1
	c.mu.Unlock()
	records, head, err := c.log.Read(ctx, oleanderspool.StreamClaim, from, claimReadLimit, wait)
	if ctx.Err() != nil {
		return false // says nothing about the log
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.setOutage(err != nil)
	if err != nil {
		return false
	}
	// Another read may have applied some of the records in the meantime; the
	// state ignores those.
	for _, r := range records {
		c.state.Apply(r, now)
	}
	c.state.FinishRead(len(records), head, now)
	c.changed.Notify()
	return true
}

// hasNoOtherClaim reads the log and reports whether it has no claim of a key but
// those of the given attempts. It returns false when the log cannot
// be read within confirmTimeout.
func (c *claimLog) hasNoOtherClaim(ctx context.Context, key claim.Key, own map[oleanderspool.AttemptID]bool) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout.Duration())
	defer cancel()
	if !c.readOnce(ctx, 0) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	current, ok := c.state.Current(key, c.clock.Now())
	return !ok || own[current.Claim.Attempt]
}

func (c *claimLog) setOutage(outage bool) {
	if c.outage == outage {
		return
	}
	c.outage = outage
	c.changed.Notify()
	if outage {
		c.metrics.StateChanged("log_unavailable")
	} else {
		c.metrics.StateChanged("log_available")
	}
}

// append appends batches as they become due until ctx ends.
func (c *claimLog) append(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		now := c.clock.Now()
		record, ok := c.batcher.Next(c.state.ExpiredBefore(now), now)
		due, waiting := c.batcher.Due()
		c.mu.Unlock()
		if ok {
			c.appendRecord(ctx, record)
			continue
		}
		c.waitUntilDue(ctx, due-now, waiting)
	}
}

func (c *claimLog) waitUntilDue(ctx context.Context, delay oleanderspool.Millis, waiting bool) {
	var due <-chan time.Time
	if waiting {
		t := time.NewTimer(max(delay, 1).Duration())
		defer t.Stop()
		due = t.C
	}
	select {
	case <-ctx.Done():
	case <-c.wake:
	case <-due:
	}
}

func (c *claimLog) appendRecord(ctx context.Context, record claim.Record) {
	result, offset := claim.ResultFailed, oleanderspool.Offset(0)
	data, err := claim.Encode(record)
	if err == nil {
		offset, err = c.log.Append(ctx, oleanderspool.StreamClaim, [][]byte{data})
		result = appendResult(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	settled := c.batcher.FinishAppend(result, offset)
	for _, s := range settled.Claims {
		if channel, ok := c.outcomes[s.Attempt]; ok {
			channel <- settled.Event()
			delete(c.outcomes, s.Attempt)
		}
	}
}

func appendResult(err error) claim.AppendResult {
	switch {
	case err == nil:
		return claim.ResultAppended
	case errorx.IsOfType(err, oleanderspool.ErrUnavailable), errorx.IsOfType(err, oleanderspool.ErrInvalid):
		return claim.ResultFailed
	default:
		return claim.ResultUncertain
	}
}

// add queues a claim. The returned channel receives the outcome of its append;
// it is nil when the batcher does not take the claim.
func (c *claimLog) add(cl claim.Claim) <-chan claim.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.batcher.Add(cl, c.clock.Now()); err != nil {
		return nil
	}
	channel := make(chan claim.Event, 1)
	c.outcomes[cl.Attempt] = channel
	broadcast.Wake(c.wake)
	return channel
}

// withdraw removes a claim whose request was abandoned.
func (c *claimLog) withdraw(id oleanderspool.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batcher.Withdraw(id)
	delete(c.outcomes, id)
}

// handle passes an event to a resolver. The returned channel is closed when
// the state of the stream changes after the decision.
func (c *claimLog) handle(r *claim.Resolver, e claim.Event) (claim.Decision, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.changed.Channel()
	return r.Handle(e, c.clock.Now()), changed
}

// unavailable reports whether the log is known to be unavailable.
func (c *claimLog) unavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outage
}
