package queue

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
)

// usageMemory is the time constant, in milliseconds, with which the past use
// of an account loses weight. It is longer than short limits, so a flood is
// not forgotten between two bursts.
const usageMemory = 30 * oleanderspool.Second

// account is what a client account has waiting and has used lately.
type account struct {
	items  int
	tokens [classCount]int64
	weight float64
	used   [classCount]float64 // prefill work with falling weight, in tokens
	usedAt oleanderspool.Millis
}

// usage returns the account's recent use of the classes up to the given one,
// in tokens. As with the backlog, longer work does not count.
func (a *account) usage(class int, now oleanderspool.Millis) float64 {
	a.decay(now)
	total := 0.0
	for _, used := range a.used[:class+1] {
		total += used
	}
	return total
}

func (a *account) decay(now oleanderspool.Millis) {
	if now <= a.usedAt {
		return
	}
	kept := math.Exp(-float64(now-a.usedAt) / float64(usageMemory))
	for i := range a.used {
		a.used[i] *= kept
	}
	a.usedAt = now
}

// backlog returns the account's waiting work of the classes up to the given
// one, in tokens. Longer work does not count: an account that submits a long
// prompt keeps its place with its short ones.
func (a *account) backlog(class int) int64 {
	total := int64(0)
	for _, tokens := range a.tokens[:class+1] {
		total += tokens
	}
	return total
}

// accounts holds the accounts that have items waiting or were active lately.
type accounts struct {
	known   map[oleanderspool.ClientAccountID]*account
	weights int64 // sum of the weights of the known accounts, in weight units
	swept   oleanderspool.Millis
}

// weightUnits returns a weight in millionths. Whole numbers make the sum of
// the weights independent of the order in which accounts are forgotten.
func weightUnits(weight float64) int64 {
	return int64(weight * 1e6)
}

// fairPart returns the account's part of all weights.
func (a *accounts) fairPart(x *account) float64 {
	return float64(weightUnits(x.weight)) / float64(max(1, a.weights))
}

func newAccounts() accounts {
	return accounts{known: make(map[oleanderspool.ClientAccountID]*account)}
}

// get returns the account of an item and adds an unknown one.
func (a *accounts) get(i Item, now oleanderspool.Millis) *account {
	a.sweep(now)
	x := a.known[i.Account]
	if x == nil {
		x = &account{usedAt: now}
		a.known[i.Account] = x
	}
	a.weights += weightUnits(i.weight()) - weightUnits(x.weight)
	x.weight = i.weight()
	return x
}

// sweep forgets the accounts that have been idle for long, once in each
// usage memory.
func (a *accounts) sweep(now oleanderspool.Millis) {
	if now-a.swept < usageMemory {
		return
	}
	a.swept = now
	for id, x := range a.known {
		if x.items == 0 && now-x.usedAt >= usageMemory {
			a.weights -= weightUnits(x.weight)
			delete(a.known, id)
		}
	}
}

func (a *accounts) add(w *waitingItem, now oleanderspool.Millis) {
	x := a.get(w.Item, now)
	x.decay(now)
	x.items++
	x.tokens[w.class] += w.PromptTokens
	x.used[classOf(w.PromptTokens)] += float64(w.PromptTokens)
}

func (a *accounts) remove(w *waitingItem) {
	x := a.known[w.Account]
	x.items--
	x.tokens[w.class] -= w.PromptTokens
}

// weight returns the account's weight against others.
func (i Item) weight() float64 {
	if i.AccountWeight <= 0 {
		return 1
	}
	return i.AccountWeight
}
