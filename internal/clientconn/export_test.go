package clientconn

// Pipelines reports whether the client has sent bytes of a request ahead.
func (c *Conn) Pipelines() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipelines
}
