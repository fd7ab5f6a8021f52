package warmup

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// maxColdServers bounds the number of servers that are remembered as cold.
const maxColdServers = 10000

// ColdServers holds the servers that said that they are cold, so that each cold period
// is reported once. The limit does not depend on it. It is not safe for concurrent use.
type ColdServers struct {
	until map[directory.ServerRun]oleanderspool.Millis
}

// NewColdServers returns cold servers without a server.
func NewColdServers() *ColdServers {
	return &ColdServers{until: make(map[directory.ServerRun]oleanderspool.Millis)}
}

// Record records that a server stays cold for a time, and reports whether it was not
// known to be cold.
func (c *ColdServers) Record(run directory.ServerRun, remaining, now oleanderspool.Millis) bool {
	until, known := c.until[run]
	if !known && len(c.until) >= maxColdServers {
		return false
	}
	c.until[run] = max(until, now+remaining)
	return now >= until
}

// Expire forgets the servers that are no longer cold.
func (c *ColdServers) Expire(now oleanderspool.Millis) {
	for run, until := range c.until {
		if now >= until {
			delete(c.until, run)
		}
	}
}
