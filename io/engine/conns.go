package engine

import (
	"net/http"
	"sync"
)

// Conns keeps the connections to one engine, so that those that have gone silent can be replaced without touching others.
type Conns struct {
	// New returns a client with connections of its own; it must have no overall timeout.
	New func() *http.Client

	mu         sync.Mutex
	current    *http.Client
	generation int
}

// use returns the client and its generation for renew.
func (c *Conns) use() (*http.Client, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		c.current = c.New()
	}

	return c.current, c.generation
}

func (c *Conns) client() *http.Client {
	client, _ := c.use()

	return client
}

// renew drops the connections of a generation: idle ones are closed, busy ones are not used again.
func (c *Conns) renew(generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation != c.generation || c.current == nil {
		return
	}
	c.current.CloseIdleConnections()
	c.current = nil
	c.generation++
}
