package admission

import "github.com/oleanderspool/oleanderspool"

// requestRetry is the span after which a caller that met a bound of requests in
// progress should come back. How soon requests end is not known.
const requestRetry = oleanderspool.Second

// capacity returns the prefill work in tokens that this entry's part of the
// servers does within the horizon of a class. It is 0 while no server is known; then
// neither shares nor overload are judged, because the router refuses anyway.
func (c *Controller) capacity(class int) float64 {
	return horizonFactors[class] * c.forecast.rate * float64(c.horizon) / float64(c.entries)
}

// drain returns the span in milliseconds in which this entry's part of the
// servers does the given work.
func (c *Controller) drain(tokens float64) oleanderspool.Millis {
	return max(1, roundUp(tokens*float64(c.entries)/c.forecast.rate))
}

// burst returns this entry's part of an account's burst, at least one request.
func (c *Controller) burst(a *account) float64 {
	return max(1, a.burst/float64(c.entries))
}

func (c *Controller) refuseRate(a *account, now oleanderspool.Millis) *oleanderspool.Refusal {
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

// refuseTokens bounds the prefill work of accounts that hold more than their
// share. A prompt is judged by the work of its class and the shorter ones, which
// goes before it. It does not apply to an account without prefill work in progress,
// since a single prompt can exceed every share. An account that is alone is
// bounded only by the overload limit.
func (c *Controller) refuseTokens(a *account, tokens int64) *oleanderspool.Refusal {
	class := classOf(tokens)
	capacity, held, used := c.capacity(class), a.tokens[class], &c.tokens[class]
	if held == 0 || tokens == 0 || capacity == 0 {
		return nil
	}
	excess := float64(held+tokens) - used.share(a)*capacity
	total := float64(used.total + tokens)
	if excess <= 0 || total <= capacity {
		return nil
	}
	if used.total != held {
		return refuseShare(c.drain(min(excess, float64(held))))
	}
	if excess = total - overloadHorizons*capacity; excess <= 0 {
		return nil
	}
	return oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "too much prompt work is in progress").
		WithRetryAfter(c.drain(min(excess, float64(held))))
}

// refuseRequests bounds the requests in progress, and those of accounts that
// hold more than their share of them.
func (c *Controller) refuseRequests(a *account) *oleanderspool.Refusal {
	if c.requests.total >= int64(c.maxRequests) {
		return oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "too many requests are in progress").
			WithRetryAfter(requestRetry)
	}
	contended := contendedPart * float64(c.maxRequests)
	if float64(c.requests.total) < contended || float64(a.requests) < c.requests.share(a)*contended {
		return nil
	}
	return refuseShare(requestRetry)
}

func refuseShare(retryAfter oleanderspool.Millis) *oleanderspool.Refusal {
	return oleanderspool.Refuse(oleanderspool.RefusalAccountShare, "the client account uses more than its share of a busy fleet").
		WithRetryAfter(retryAfter)
}

// refuseDeadline refuses a request whose predicted wait and prefill exceed its
// time limit. It asks the caller to return once the wait fits; a prompt whose
// own prefill does not fit gets no such advice.
func (c *Controller) refuseDeadline(r oleanderspool.Request, now oleanderspool.Millis) *oleanderspool.Refusal {
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
