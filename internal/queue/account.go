package queue

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
)

// usageTimeConstant is the time constant, in milliseconds, of the exponential
// decay of an account's past usage. It exceeds the deadlines of short
// requests, so that a burst still counts when the account's next burst arrives.
const usageTimeConstant = 30 * oleanderspool.Second

// account records what a client account has waiting and has used recently.
type account struct {
	items         int
	waitingTokens [classCount]int64
	weight        float64
	usedTokens    [classCount]float64 // prefill work with exponential decay, in tokens
	decayedAt     oleanderspool.Millis
}

// usage returns the account's recent usage of the classes up to the given one,
// in tokens. As with the backlog, longer work does not count.
func (a *account) usage(class int, now oleanderspool.Millis) float64 {
	a.decay(now)
	total := 0.0
	for _, used := range a.usedTokens[:class+1] {
		total += used
	}
	return total
}

func (a *account) decay(now oleanderspool.Millis) {
	if now <= a.decayedAt {
		return
	}
	factor := math.Exp(-float64(now-a.decayedAt) / float64(usageTimeConstant))
	for i := range a.usedTokens {
		a.usedTokens[i] *= factor
	}
	a.decayedAt = now
}

// backlog returns the account's waiting work of the classes up to the given
// one, in tokens. Longer work does not count: an account that submits a long
// prompt keeps its place with its short ones.
func (a *account) backlog(class int) int64 {
	total := int64(0)
	for _, tokens := range a.waitingTokens[:class+1] {
		total += tokens
	}
	return total
}

// accounts holds the accounts that have items waiting or were active recently.
type accounts struct {
	known       map[oleanderspool.ClientAccountID]*account
	totalWeight int64 // sum of the weights of the known accounts, in weight units
	sweptAt     oleanderspool.Millis
}

// weightUnits returns a weight in millionths. With integers the sum of the
// weights does not depend on the order in which accounts are removed.
func weightUnits(weight float64) int64 {
	return int64(weight * 1e6)
}

// fairShare returns the account's fraction of the total weight.
func (a *accounts) fairShare(x *account) float64 {
	return float64(weightUnits(x.weight)) / float64(max(1, a.totalWeight))
}

func newAccounts() accounts {
	return accounts{known: make(map[oleanderspool.ClientAccountID]*account)}
}

// upsert returns the account of an item. It adds an unknown account, updates the
// weight and removes idle accounts.
func (a *accounts) upsert(i Item, now oleanderspool.Millis) *account {
	a.sweep(now)
	x := a.known[i.Account]
	if x == nil {
		x = &account{decayedAt: now}
		a.known[i.Account] = x
	}
	a.totalWeight += weightUnits(i.effectiveWeight()) - weightUnits(x.weight)
	x.weight = i.effectiveWeight()
	return x
}

// sweep removes the accounts that have been idle for at least the usage time
// constant. It does so at most once per usage time constant.
func (a *accounts) sweep(now oleanderspool.Millis) {
	if now-a.sweptAt < usageTimeConstant {
		return
	}
	a.sweptAt = now
	for id, x := range a.known {
		if x.items == 0 && now-x.decayedAt >= usageTimeConstant {
			a.totalWeight -= weightUnits(x.weight)
			delete(a.known, id)
		}
	}
}

func (a *accounts) add(w *waitingItem, now oleanderspool.Millis) {
	x := a.upsert(w.Item, now)
	x.decay(now)
	x.items++
	x.waitingTokens[w.class] += w.PromptTokens
	x.usedTokens[classOf(w.PromptTokens)] += float64(w.PromptTokens)
}

func (a *accounts) remove(w *waitingItem) {
	x := a.known[w.Account]
	x.items--
	x.waitingTokens[w.class] -= w.PromptTokens
}

// effectiveWeight returns the weight of the account relative to others.
func (i Item) effectiveWeight() float64 {
	if i.AccountWeight <= 0 {
		return 1
	}
	return i.AccountWeight
}
