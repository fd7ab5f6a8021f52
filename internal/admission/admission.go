// Package admission decides at an entry whether a request is admitted: rate
// limits and shares per client account, a bound on work in progress, and the
// refusal of requests whose time limit cannot be met.
package admission

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Defaults of [New].
const (
	// DefaultContentionThreshold is the amount of prefill work in progress of the shortest
	// class of lengths, as time of all servers, from which on accounts contend
	// for capacity.
	DefaultContentionThreshold = 2 * oleanderspool.Second
	// DefaultMaxRequests bounds the requests in progress at one entry. It is a
	// guess until the memory of an entry per request has been measured.
	DefaultMaxRequests = 10000
)

// overloadHorizons bounds the prefill work that accounts beyond their shares
// may add to, in horizons. Accounts within their shares add at most another
// horizon and one prompt each.
const overloadHorizons = 4

// horizonFactors relates the horizon of each class of lengths, which counts the
// work of the class and the shorter ones, to that of the shortest class. Longer
// prompts have longer time limits and more work in progress at the same load:
// with one horizon for all, a fifth of the requests was refused at 80%
// utilisation.
var horizonFactors = [classCount]float64{1, 4, 16, 64}

// contendedPart is the part of the bound of requests from which on accounts
// contend for them. The other half is left to accounts within their shares.
const contendedPart = 0.5

// Option configures the controller that [New] returns.
type Option func(*Controller)

// WithMaxRequests sets the bound of requests in progress.
func WithMaxRequests(requests int) Option {
	return func(c *Controller) { c.maxRequests = requests }
}

// Controller admits requests at one entry. It is not safe for concurrent use.
// Its memory is bounded by the configured client accounts and the requests in
// progress.
type Controller struct {
	horizon     oleanderspool.Millis
	maxRequests int

	revision oleanderspool.Revision
	accounts map[oleanderspool.ClientAccountID]*account
	entries  int // live entries, at least 1
	forecast Forecast

	requests usage // requests in progress
	// tokens is the prefill work in progress of prompts up to each class of
	// lengths, in tokens.
	tokens [classCount]usage
}

// account is the state of one client account.
type account struct {
	rate     float64 // requests per millisecond over the fleet; 0 means no limit
	burst    float64 // requests over the fleet
	share    float64 // largest share of capacity under contention
	bucket   bucket
	requests int64             // in progress
	tokens   [classCount]int64 // prefill work in progress of prompts up to each class
	removed  bool              // no longer configured
}

// Ticket stands for an admitted request until it ends.
type Ticket struct {
	account  *account
	tokens   int64 // prefill work that is still counted
	finished bool
}

// New returns a controller without accounts, for a single entry.
func New(options ...Option) *Controller {
	c := &Controller{
		horizon:     DefaultContentionThreshold,
		maxRequests: DefaultMaxRequests,
		accounts:    make(map[oleanderspool.ClientAccountID]*account),
		entries:     1,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// ApplyAccounts takes the client accounts of a configuration. Accounts of an
// older revision are ignored. An account that stays keeps its state, so that a
// change of configuration does not refill its bucket.
func (c *Controller) ApplyAccounts(revision oleanderspool.Revision, accounts []configuration.ClientAccount, now oleanderspool.Millis) {
	if revision < c.revision {
		return
	}
	c.revision = revision
	kept := make(map[oleanderspool.ClientAccountID]*account, len(accounts))
	for _, configured := range accounts {
		a := c.accounts[configured.ID]
		if a == nil {
			a = c.newAccount(configured, now)
		}
		kept[configured.ID] = a
	}
	for id, a := range c.accounts {
		a.removed = kept[id] == nil
	}
	c.accounts = kept
	c.requests.active = 0
	for class := range c.tokens {
		c.tokens[class].active = 0
	}
	for _, configured := range accounts {
		a := kept[configured.ID]
		a.configure(configured)
		c.activate(a)
	}
}

// UpdateAccounts takes the client accounts that a newer configuration puts and
// removes, with the same result as [Controller.ApplyAccounts].
func (c *Controller) UpdateAccounts(revision oleanderspool.Revision, put []configuration.ClientAccount, removed []oleanderspool.ClientAccountID, now oleanderspool.Millis) {
	if revision < c.revision {
		return
	}
	c.revision = revision
	for _, configured := range put {
		a := c.accounts[configured.ID]
		if a == nil {
			a = c.newAccount(configured, now)
			c.accounts[configured.ID] = a
			continue
		}
		c.deactivate(a)
		a.configure(configured)
		c.activate(a)
	}
	for _, id := range removed {
		if a := c.accounts[id]; a != nil {
			c.deactivate(a)
			a.removed = true
			delete(c.accounts, id)
		}
	}
}

// newAccount returns an account with a full bucket.
func (c *Controller) newAccount(configured configuration.ClientAccount, now oleanderspool.Millis) *account {
	a := &account{}
	a.configure(configured)
	a.bucket = bucket{level: c.burst(a), at: now}
	return a
}

// activate adds the shares of an account that holds anything.
func (c *Controller) activate(a *account) {
	c.requests.activate(a.requests, a.share)
	for class := range c.tokens {
		c.tokens[class].activate(a.tokens[class], a.share)
	}
}

// deactivate takes out the shares of an account that holds anything.
func (c *Controller) deactivate(a *account) {
	c.requests.deactivate(a.requests, a.share)
	for class := range c.tokens {
		c.tokens[class].deactivate(a.tokens[class], a.share)
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

// SetForecast takes the forecast for the current snapshot of the membership.
func (c *Controller) SetForecast(forecast Forecast) {
	c.forecast = forecast
}

// Admit returns a ticket for r, or the refusal. All refusals say that the
// request was not run. The reasons are unknown_account, account_rate_limit,
// account_share, overloaded and deadline_too_short. A refused request does not
// use up the rate of its account.
func (c *Controller) Admit(r oleanderspool.Request, now oleanderspool.Millis) (*Ticket, *oleanderspool.Refusal) {
	a := c.accounts[r.Account]
	if a == nil {
		return nil, oleanderspool.Refuse(oleanderspool.RefusalUnknownAccount, "the client account is not configured")
	}
	tokens := work(r)
	if refusal := c.refuseDeadline(r, now); refusal != nil {
		return nil, refusal
	}
	if refusal := c.refuseTokens(a, tokens); refusal != nil {
		return nil, refusal
	}
	if refusal := c.refuseRequests(a); refusal != nil {
		return nil, refusal
	}
	if refusal := c.refuseRate(a, now); refusal != nil {
		return nil, refusal
	}
	c.add(a, tokens)
	return &Ticket{account: a, tokens: tokens}, nil
}

// work returns the prefill work of a request in tokens. A service call has
// none.
func work(r oleanderspool.Request) int64 {
	if r.Kind == oleanderspool.KindService {
		return 0
	}
	return max(1, int64(r.PromptCount))
}

func (c *Controller) add(a *account, tokens int64) {
	c.requests.add(a, &a.requests, 1)
	for class := classOf(tokens); class < classCount; class++ {
		c.tokens[class].add(a, &a.tokens[class], tokens)
	}
}

// classOf returns the class of lengths of prefill work in tokens.
func classOf(tokens int64) int {
	return oleanderspool.WorkClass(tokens)
}

// Prefilled notes that the first piece of the answer arrived, so that the
// prompt is no longer prefill work. Calling it again has no effect.
func (c *Controller) Prefilled(t *Ticket) {
	for class := classOf(t.tokens); class < classCount; class++ {
		c.tokens[class].remove(t.account, &t.account.tokens[class], t.tokens)
	}
	t.tokens = 0
}

// Finish notes that the request ended in whatever way. Calling it again has no
// effect.
func (c *Controller) Finish(t *Ticket) {
	if t.finished {
		return
	}
	t.finished = true
	c.Prefilled(t)
	c.requests.remove(t.account, &t.account.requests, 1)
}

// InProgress returns the number of requests in progress and their prefill work
// in tokens.
func (c *Controller) InProgress() (requests, tokens int64) {
	return c.requests.total, c.tokens[classCount-1].total
}
