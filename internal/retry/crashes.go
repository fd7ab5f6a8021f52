package retry

import "github.com/oleanderspool/oleanderspool"

const (
	// crashWindow is the time for which a crashed server is counted.
	crashWindow = oleanderspool.Minute
	// crashFraction is the fraction of all servers above which a retry after a crash
	// is charged to the budget.
	crashFraction = 0.1
)

// crashes counts the servers that crashed within the last minute. A server that
// crashed several times counts once.
type crashes struct {
	servers int // number of known servers
	last    map[oleanderspool.InstanceID]oleanderspool.Millis
}

func (c *crashes) add(instance oleanderspool.InstanceID, now oleanderspool.Millis) {
	c.expire(now)
	c.last[instance] = now
}

func (c *crashes) expire(now oleanderspool.Millis) {
	for instance, at := range c.last {
		if now-at > crashWindow {
			delete(c.last, instance)
		}
	}
}

// exceedLimit reports whether so many servers crashed that retries after a crash are
// charged to the budget. One crash never exceeds the limit, even with fewer than ten
// servers, because the loss of a single server must not lose requests.
func (c *crashes) exceedLimit(now oleanderspool.Millis) bool {
	c.expire(now)
	return float64(len(c.last)) > max(1, crashFraction*float64(c.servers))
}
