package retry

import "github.com/oleanderspool/oleanderspool"

const (
	// crashSpan is the span over which crashed servers are counted.
	crashSpan = oleanderspool.Minute
	// crashPart is the part of the known servers above which a retry after a
	// crash draws on the budget.
	crashPart = 0.1
)

// crashes counts the servers that crashed within the last minute. A server
// that crashed several times counts once.
type crashes struct {
	known int // servers that exist
	last  map[oleanderspool.InstanceID]oleanderspool.Millis
}

func (c *crashes) add(instance oleanderspool.InstanceID, now oleanderspool.Millis) {
	c.expire(now)
	c.last[instance] = now
}

func (c *crashes) expire(now oleanderspool.Millis) {
	for instance, at := range c.last {
		if now-at > crashSpan {
			delete(c.last, instance)
		}
	}
}

// many reports whether so many servers crashed that retries after a crash are
// no longer free. One crash is never many, also in a fleet of less than ten
// servers, because the loss of a single server must not lose requests.
func (c *crashes) many(now oleanderspool.Millis) bool {
	c.expire(now)
	return float64(len(c.last)) > max(1, crashPart*float64(c.known))
}
