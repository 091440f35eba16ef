package upstreamclient

import (
	"time"

	"cardamomward/core/reachability"
)

// IsPathBroken reports whether this host's link to an upstream fails while other hosts reach the upstream, or its links to all fail.
func (c *Client) IsPathBroken(address string) bool { return c.avoidsDirectPath(address) }

func (c *Client) avoidsDirectPath(address string) bool {
	c.pathsMu.Lock()
	defer c.pathsMu.Unlock()

	return c.paths.AvoidsDirectPath(c.now(), reachability.Address(address))
}

func (c *Client) hangsDirectly(address string) bool {
	c.pathsMu.Lock()
	defer c.pathsMu.Unlock()

	return c.paths.HangsDirectly(c.now(), reachability.Address(address))
}

func (c *Client) mayHangDirectly(address string) bool {
	c.pathsMu.Lock()
	defer c.pathsMu.Unlock()

	return c.paths.MayHangDirectly(c.now(), reachability.Address(address))
}

// IsPartitioned reports whether no direct path from this host to an upstream works.
func (c *Client) IsPartitioned() bool {
	c.pathsMu.Lock()
	defer c.pathsMu.Unlock()

	return c.paths.IsPartitioned(c.now())
}

func (c *Client) tryProbe(address string) bool {
	c.pathsMu.Lock()
	defer c.pathsMu.Unlock()

	return c.paths.TryProbe(c.now(), reachability.Address(address))
}

func (c *Client) recordDirect(address string, result reachability.Result) {
	c.updatePaths(address, result.String(), func(now time.Time) { c.paths.RecordDirect(now, reachability.Address(address), result) })
}

func (c *Client) recordUnreachable(address string) {
	c.updatePaths(address, "unreachable", func(now time.Time) { c.paths.RecordUnreachable(now, reachability.Address(address)) })
}

func (c *Client) recordRelayed(address string) {
	c.updatePaths(address, "relayed", func(time.Time) { c.paths.RecordRelayed(reachability.Address(address)) })
}

// updatePaths applies a result to the state of the paths, logs what it changes, and checks connections that may hang.
func (c *Client) updatePaths(address, result string, update func(now time.Time)) {
	c.pathsMu.Lock()
	now := c.now()
	key := reachability.Address(address)
	wasAvoided, wasPartitioned := c.paths.AvoidsDirectPath(now, key), c.paths.IsPartitioned(now)
	update(now)
	isAvoided, isPartitioned := c.paths.AvoidsDirectPath(now, key), c.paths.IsPartitioned(now)
	hangs := c.paths.HangsDirectly(now, key)
	c.pathsMu.Unlock()
	if isAvoided != wasAvoided {
		c.Logger.Info("upstream-path", "address", address, "relayed", isAvoided, "result", result, "partitioned", isPartitioned)
	}
	if isPartitioned != wasPartitioned {
		c.Logger.Info("upstreams-partitioned", "partitioned", isPartitioned, "address", address, "result", result)
	}
	if hangs && (!wasAvoided || !wasPartitioned) {
		c.checkExchanges(address, isPartitioned && !wasPartitioned)
	}
}

// checkExchanges makes the watchdogs check the exchanges on direct connections to an upstream, or to all upstreams.
func (c *Client) checkExchanges(address string, all bool) {
	c.mu.Lock()
	var suspects []*Exchange
	for x := range c.exchanges {
		if x.conn.relay == "" && (all || x.conn.address == address) {
			suspects = append(suspects, x)
		}
	}
	c.mu.Unlock()
	for _, x := range suspects {
		x.watchdog.check()
	}
}

func (c *Client) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}

	return c.Now()
}
