package engineclient

import (
	"net/http"
	"sync"

	"cardamomward/io/http1"
)

// ConnPool holds the connections to one engine, so that all of them can be replaced without affecting other engines.
type ConnPool struct {
	// NewClient returns an HTTP client with its own connections; it must have no overall timeout.
	NewClient func() *http.Client

	mu         sync.Mutex
	current    *http.Client
	generation int
}

// clientWithGeneration returns the current client and its generation, to be given to replaceGeneration.
func (c *ConnPool) clientWithGeneration() (*http.Client, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		c.current = http1.NewStrictClient(c.NewClient(), 0)
	}

	return c.current, c.generation
}

func (c *ConnPool) currentClient() *http.Client {
	client, _ := c.clientWithGeneration()

	return client
}

// replaceGeneration drops the connections of a generation: idle ones are closed, busy ones are not reused. It does
// nothing if the generation has been replaced already.
func (c *ConnPool) replaceGeneration(generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation != c.generation || c.current == nil {
		return
	}
	c.current.CloseIdleConnections()
	c.current = nil
	c.generation++
}
