package attempt

var verdictNames = [...]string{
	Accepted:    "accepted",
	Duplicate:   "duplicate",
	Late:        "late",
	Misdirected: "misdirected",
	TooFar:      "too_far",
}

// String returns the value of the metric label.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}
