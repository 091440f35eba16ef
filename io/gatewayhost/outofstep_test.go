package gatewayhost_test

import (
	"testing"
	"time"

	"cardamomward/platform"
)

// During a release, upstreams of a newer version register while one host does not hear of them. Streams that begin there through other
// hosts break and are taken up at that host, which could continue them at the version that it knows.
func TestStreamOfReleaseStaysAtItsVersionAtHostThatIsOutOfStep(t *testing.T) {
	const outOfStep = 2 * time.Second
	for name, fall := range map[string]func(c *testCluster) (back func()){
		"standing still": func(c *testCluster) func() {
			c.hosts["host-0"].pause()

			return c.hosts["host-0"].resume
		},
		"cut off from the store": func(c *testCluster) func() {
			c.storeLinks["host-0"].SetDown(true)

			return func() { c.storeLinks["host-0"].SetDown(false) }
		},
	} {
		for attempts, omit := range map[string]bool{"attempts named": false, "attempts not named": true} {
			t.Run(name+", "+attempts, func(t *testing.T) {
				c := newTestCluster(t, 3, func(c *testCluster, _ *platform.HostSettings) { c.runsProcesses = true })
				c.slowStreams(50 * time.Millisecond)
				back := fall(c)
				backAt := time.Now().Add(outOfStep)
				c.addEngines(newerVersion, 2)
				time.Sleep(registrationDelay)
				streams := c.newStreams()
				c.receiveEvents(streams, 1, "host-1", "host-2")
				crash(c.engines[0], c.engines[2])
				if omit {
					omitAttempts(streams)
				}
				time.Sleep(time.Until(backAt))
				back()
				c.takeUpAll(streams, "host-0")
				requireUnmixed(t, streams)
			})
		}
	}
}
