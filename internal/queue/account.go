package queue

import "github.com/oleanderspool/oleanderspool"

// account is what a client account has waiting.
type account struct {
	items  int
	tokens [classCount]int64
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

// accounts holds the accounts with waiting items.
type accounts map[oleanderspool.ClientAccountID]*account

func (a accounts) add(w *waitingItem) {
	x := a[w.Account]
	if x == nil {
		x = &account{}
		a[w.Account] = x
	}
	x.items++
	x.tokens[w.class] += w.PromptTokens
}

func (a accounts) remove(w *waitingItem) {
	x := a[w.Account]
	x.items--
	x.tokens[w.class] -= w.PromptTokens
	if x.items == 0 {
		delete(a, w.Account)
	}
}

// weight returns the account's weight against others.
func (i Item) weight() float64 {
	if i.Share <= 0 {
		return 1
	}
	return i.Share
}
