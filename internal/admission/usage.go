package admission

// usage is the use of one kind of capacity by all accounts.
type usage struct {
	total  int64
	active float64 // sum of the shares of the accounts that use it
}

// add counts n more for an account, whose own count is held.
func (u *usage) add(a *account, held *int64, n int64) {
	if *held == 0 {
		u.activate(n, a.share)
	}
	*held += n
	u.total += n
}

// remove counts n less for an account, whose own count is held.
func (u *usage) remove(a *account, held *int64, n int64) {
	if n == 0 {
		return
	}
	*held -= n
	u.total -= n
	if *held == 0 && !a.removed {
		u.active = max(0, u.active-a.share)
	}
	if u.total == 0 {
		u.active = 0 // removes what rounding left behind
	}
}

// activate counts the share of an account that holds anything.
func (u *usage) activate(held int64, share float64) {
	if held > 0 {
		u.active += share
	}
}

// deactivate is the inverse of activate.
func (u *usage) deactivate(held int64, share float64) {
	if held > 0 {
		u.active = max(0, u.active-share)
	}
}

// share returns the part of capacity that an account may hold under
// contention: its configured share, or its part of the active shares if these
// exceed the capacity. Without the second bound an account whose share is 1
// could keep all others out.
func (u *usage) share(a *account) float64 {
	return a.share / max(1, u.active)
}
