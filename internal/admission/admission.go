// Package admission decides at an entry whether a request is admitted. It
// enforces rate limits and capacity shares per client account, bounds the work
// in progress, and refuses requests whose deadline cannot be met.
package admission

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Defaults of [New].
const (
	// DefaultContentionThreshold is the prefill work in progress of the shortest
	// class of prompt lengths above which accounts contend for capacity. It is
	// expressed as the time in which all servers together do that work.
	DefaultContentionThreshold = 2 * oleanderspool.Second
	// DefaultMaxRequests bounds the requests in progress at one entry, and so
	// the entry's memory.
	DefaultMaxRequests = 10000
)

// overloadFactor bounds the prefill work in progress of an account that is the
// only one with such work, as a multiple of the contention threshold. Other
// accounts within their shares add at most one more threshold and one prompt
// each.
const overloadFactor = 4

// thresholdFactors holds the contention threshold of each class of prompt
// lengths as a multiple of that of the shortest class. The threshold of a class
// applies to the work of the class and the shorter ones. Longer prompts have
// longer time limits and more work in progress at the same load: with one
// threshold for all classes, a fifth of the requests was refused at 80%
// utilisation.
var thresholdFactors = [classCount]float64{1, 4, 16, 64}

// contendedFraction is the fraction of the maximum number of requests up to which
// every account is admitted. Above it only accounts within their shares are.
const contendedFraction = 0.5

// Option configures the controller that [New] returns.
type Option func(*Controller)

// WithMaxRequests sets the maximum number of requests in progress.
func WithMaxRequests(requests int) Option {
	return func(c *Controller) { c.maxRequests = requests }
}

// Controller admits requests at one entry. It is not safe for concurrent use.
// Its memory is bounded by the configured client accounts and the requests in
// progress.
type Controller struct {
	contentionThreshold oleanderspool.Millis
	maxRequests         int

	revision oleanderspool.Revision
	accounts map[oleanderspool.ClientAccountID]*account
	entries  int // live entries, at least 1
	forecast Forecast

	requests usage // requests in progress
	// tokens is, for each class of prompt lengths, the prefill work in progress
	// of the class and the shorter ones, in tokens.
	tokens [classCount]usage
}

// account is the state of one client account.
type account struct {
	rate     float64 // requests per millisecond at all entries together; 0 means no limit
	burst    float64 // requests at all entries together
	share    float64 // maximum fraction of the capacity under contention
	bucket   bucket
	requests int64             // in progress
	tokens   [classCount]int64 // prefill work in progress, by class as in Controller
	removed  bool              // no longer configured
}

// Ticket represents an admitted request until it ends.
type Ticket struct {
	account  *account
	tokens   int64 // prefill work that is still counted as in progress
	finished bool
}

// New returns a controller without accounts, for a single entry.
func New(options ...Option) *Controller {
	c := &Controller{
		contentionThreshold: DefaultContentionThreshold,
		maxRequests:         DefaultMaxRequests,
		accounts:            make(map[oleanderspool.ClientAccountID]*account),
		entries:             1,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// ApplyAccounts replaces the client accounts by those of a configuration. It
// ignores an older revision. An account that remains keeps its state, so that a
// change of the configuration does not refill its bucket.
func (c *Controller) ApplyAccounts(revision oleanderspool.Revision, accounts []configuration.ClientAccount, now oleanderspool.Millis) {
	if revision < c.revision {
		return
	}
	c.revision = revision
	current := make(map[oleanderspool.ClientAccountID]*account, len(accounts))
	for _, configured := range accounts {
		a := c.accounts[configured.ID]
		if a == nil {
			a = c.newAccount(configured, now)
		}
		current[configured.ID] = a
	}
	for id, a := range c.accounts {
		a.removed = current[id] == nil
	}
	c.accounts = current
	c.requests.activeShares = 0
	for class := range c.tokens {
		c.tokens[class].activeShares = 0
	}
	for _, configured := range accounts {
		a := current[configured.ID]
		a.configure(configured)
		c.addShares(a)
	}
}

// UpdateAccounts applies the client accounts that a newer configuration adds,
// changes and removes, with the same result as [Controller.ApplyAccounts].
func (c *Controller) UpdateAccounts(revision oleanderspool.Revision, updated []configuration.ClientAccount, removed []oleanderspool.ClientAccountID, now oleanderspool.Millis) {
	if revision < c.revision {
		return
	}
	c.revision = revision
	for _, configured := range updated {
		a := c.accounts[configured.ID]
		if a == nil {
			a = c.newAccount(configured, now)
			c.accounts[configured.ID] = a
			continue
		}
		c.removeShares(a)
		a.configure(configured)
		c.addShares(a)
	}
	for _, id := range removed {
		if a := c.accounts[id]; a != nil {
			c.removeShares(a)
			a.removed = true
			delete(c.accounts, id)
		}
	}
}

// newAccount returns an account with a full bucket.
func (c *Controller) newAccount(configured configuration.ClientAccount, now oleanderspool.Millis) *account {
	a := &account{}
	a.configure(configured)
	a.bucket = bucket{level: c.burst(a), refilledAt: now}
	return a
}

// addShares counts the share of an account in each usage to which the account
// contributes.
func (c *Controller) addShares(a *account) {
	c.requests.addShare(a.requests, a.share)
	for class := range c.tokens {
		c.tokens[class].addShare(a.tokens[class], a.share)
	}
}

// removeShares is the inverse of addShares.
func (c *Controller) removeShares(a *account) {
	c.requests.removeShare(a.requests, a.share)
	for class := range c.tokens {
		c.tokens[class].removeShare(a.tokens[class], a.share)
	}
}

func (a *account) configure(configured configuration.ClientAccount) {
	a.rate = configured.RequestsPerSec / float64(oleanderspool.Second)
	a.burst = float64(max(1, configured.BurstRequests))
	a.share = configured.ShareOfCapacity
	if a.share <= 0 || a.share > 1 {
		a.share = 1
	}
}

// SetEntries sets the number of live entries, which share the rates of the
// accounts and the capacity of the servers evenly.
func (c *Controller) SetEntries(entries int) {
	c.entries = max(1, entries)
}

// SetForecast sets the forecast for the current snapshot of the membership.
func (c *Controller) SetForecast(forecast Forecast) {
	c.forecast = forecast
}

// Admit returns a ticket for r, or a refusal. Every refusal states that the
// request was not run. The reasons are unknown_account, account_rate_limit,
// account_share, overloaded and deadline_too_short. A refused request does not
// count against the rate limit of its account.
func (c *Controller) Admit(r oleanderspool.Request, now oleanderspool.Millis) (*Ticket, *oleanderspool.Refusal) {
	a := c.accounts[r.Account]
	if a == nil {
		return nil, oleanderspool.Refuse(oleanderspool.RefusalUnknownAccount, "the client account is not configured")
	}
	tokens := prefillWork(r)
	if refusal := c.checkDeadline(r, now); refusal != nil {
		return nil, refusal
	}
	if refusal := c.checkTokens(a, tokens); refusal != nil {
		return nil, refusal
	}
	if refusal := c.checkRequests(a); refusal != nil {
		return nil, refusal
	}
	if refusal := c.checkRate(a, now); refusal != nil {
		return nil, refusal
	}
	c.add(a, tokens)
	return &Ticket{account: a, tokens: tokens}, nil
}

// prefillWork returns the prefill work of a request in tokens. A service call
// has none.
func prefillWork(r oleanderspool.Request) int64 {
	if r.Kind == oleanderspool.KindService {
		return 0
	}
	return max(1, int64(r.PromptTokens))
}

func (c *Controller) add(a *account, tokens int64) {
	c.requests.add(a, &a.requests, 1)
	for class := classOf(tokens); class < classCount; class++ {
		c.tokens[class].add(a, &a.tokens[class], tokens)
	}
}

// classOf returns the class of prompt lengths for prefill work in tokens.
func classOf(tokens int64) int {
	return oleanderspool.LengthClass(tokens)
}

// FirstToken records that the first piece of the answer has arrived, so that the
// prompt no longer counts as prefill work. Calling it again has no effect.
func (c *Controller) FirstToken(t *Ticket) {
	for class := classOf(t.tokens); class < classCount; class++ {
		c.tokens[class].remove(t.account, &t.account.tokens[class], t.tokens)
	}
	t.tokens = 0
}

// Finish records that the request has ended, whatever the outcome. Calling it
// again has no effect.
func (c *Controller) Finish(t *Ticket) {
	if t.finished {
		return
	}
	t.finished = true
	c.FirstToken(t)
	c.requests.remove(t.account, &t.account.requests, 1)
}

// InProgress returns the number of requests in progress and their prefill work
// in tokens.
func (c *Controller) InProgress() (requests, tokens int64) {
	return c.requests.total, c.tokens[classCount-1].total
}
