package attempt

var verdictNames = [...]string{
	VerdictAccepted:    "accepted",
	VerdictDuplicate:   "duplicate",
	VerdictLate:        "late",
	VerdictMisdirected: "misdirected",
	VerdictTooFar:      "too_far",
}

// String returns the value of the metric label.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}
