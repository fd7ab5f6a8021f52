package attempt

var verdictNames = [...]string{
	Accepted:    "accepted",
	Duplicate:   "duplicate",
	Late:        "late",
	Misdirected: "misdirected",
	TooFar:      "too_far",
}

// String returns the name used as a metric label.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}
