package admission

import "github.com/oleanderspool/oleanderspool"

// requestRetryAfter is the time after which a caller should retry when too many
// requests are in progress. It is fixed because it is not known how soon requests
// end.
const requestRetryAfter = oleanderspool.Second

// contentionTokens returns the contention threshold of a class as prefill work
// in tokens: what this entry's part of the servers does in that time. It is 0
// while no server is known; then neither shares nor overload are checked, because the
// router refuses the request anyway.
func (c *Controller) contentionTokens(class int) float64 {
	return thresholdFactors[class] * c.forecast.rate * float64(c.contentionThreshold) / float64(c.entries)
}

// drainTime returns the time in milliseconds that this entry's part of the
// servers needs for the given work.
func (c *Controller) drainTime(tokens float64) oleanderspool.Millis {
	return max(1, toMillis(tokens*float64(c.entries)/c.forecast.rate))
}

// burst returns this entry's part of an account's burst, at least one request.
func (c *Controller) burst(a *account) float64 {
	return max(1, a.burst/float64(c.entries))
}

func (c *Controller) checkRate(a *account, now oleanderspool.Millis) *oleanderspool.Refusal {
	if a.rate <= 0 {
		return nil
	}
	wait := a.bucket.take(a.rate/float64(c.entries), c.burst(a), now)
	if wait == 0 {
		return nil
	}
	return oleanderspool.Refuse(oleanderspool.RefusalAccountRateLimit, "the client account sends more requests than its limit").
		WithRetryAfter(wait)
}

// checkTokens bounds the prefill work of accounts that use more than their
// share. A prompt is checked against the work of its class and the shorter ones,
// which is served before it. The bound does not apply to an account without
// prefill work in progress, since a single prompt can exceed every share. An
// account that is the only one with work in progress is bounded only by the
// overload limit.
func (c *Controller) checkTokens(a *account, tokens int64) *oleanderspool.Refusal {
	class := classOf(tokens)
	threshold, own, all := c.contentionTokens(class), a.tokens[class], &c.tokens[class]
	if own == 0 || tokens == 0 || threshold == 0 {
		return nil
	}
	excess := float64(own+tokens) - all.allowedFraction(a)*threshold
	total := float64(all.total + tokens)
	if excess <= 0 || total <= threshold {
		return nil
	}
	if all.total != own {
		return shareRefusal(c.drainTime(min(excess, float64(own))))
	}
	if excess = total - overloadFactor*threshold; excess <= 0 {
		return nil
	}
	return oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "too much prompt work is in progress").
		WithRetryAfter(c.drainTime(min(excess, float64(own))))
}

// checkRequests bounds the requests in progress of all accounts together, and,
// under contention, those of accounts that use more than their share.
func (c *Controller) checkRequests(a *account) *oleanderspool.Refusal {
	if c.requests.total >= int64(c.maxRequests) {
		return oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "too many requests are in progress").
			WithRetryAfter(requestRetryAfter)
	}
	contendedAbove := contendedFraction * float64(c.maxRequests)
	if float64(c.requests.total) < contendedAbove || float64(a.requests) < c.requests.allowedFraction(a)*contendedAbove {
		return nil
	}
	return shareRefusal(requestRetryAfter)
}

func shareRefusal(retryAfter oleanderspool.Millis) *oleanderspool.Refusal {
	return oleanderspool.Refuse(oleanderspool.RefusalAccountShare, "the client account uses more than its share of a busy fleet").
		WithRetryAfter(retryAfter)
}

// checkDeadline refuses a request whose predicted wait and prefill exceed the
// time left until its deadline. It asks the caller to retry once the wait is
// short enough. A prompt whose prefill alone takes too long gets no retry time.
func (c *Controller) checkDeadline(r oleanderspool.Request, now oleanderspool.Millis) *oleanderspool.Refusal {
	remaining := r.Remaining(now)
	wait, prefill := c.forecast.Wait(r)
	if remaining > 0 && wait+prefill <= remaining {
		return nil
	}
	refusal := oleanderspool.Refuse(oleanderspool.RefusalDeadlineTooShort, "the time limit is shorter than the predicted wait")
	if limit := remaining - prefill; limit > 0 {
		return refusal.WithRetryAfter(wait - limit)
	}
	return refusal
}
