package admission

// usage is how much of one kind of capacity all accounts use.
type usage struct {
	total        int64
	activeShares float64 // sum of the shares of the accounts that use it
}

// add adds n to the usage of an account and to the total. own points to the
// account's usage.
func (u *usage) add(a *account, own *int64, n int64) {
	if *own == 0 {
		u.addShare(n, a.share)
	}
	*own += n
	u.total += n
}

// remove subtracts n from the usage of an account and from the total. own points
// to the account's usage.
func (u *usage) remove(a *account, own *int64, n int64) {
	if n == 0 {
		return
	}
	*own -= n
	u.total -= n
	if *own == 0 && !a.removed {
		u.activeShares = max(0, u.activeShares-a.share)
	}
	if u.total == 0 {
		u.activeShares = 0 // clears accumulated rounding errors
	}
}

// addShare counts the share of an account unless its own usage is zero.
func (u *usage) addShare(own int64, share float64) {
	if own > 0 {
		u.activeShares += share
	}
}

// removeShare is the inverse of addShare.
func (u *usage) removeShare(own int64, share float64) {
	if own > 0 {
		u.activeShares = max(0, u.activeShares-share)
	}
}

// allowedFraction returns the fraction of the capacity that an account may use
// under contention: its configured share, or its fraction of the active shares
// if these exceed the capacity. Without the second bound an account whose share is 1
// could keep all others out.
func (u *usage) allowedFraction(a *account) float64 {
	return a.share / max(1, u.activeShares)
}
