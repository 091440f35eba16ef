package cluster

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// If all hosts were stopped at once, they released their slots at once, and turns in progress ended without being retained.
func TestSlotsAreServedWhileAllHostsDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newTestCluster(t)
		join(t, c)
		hear := func(isDraining bool) {
			c.peers.mu.Lock()
			defer c.peers.mu.Unlock()
			c.peers.addSilentPeer("127.0.0.2:7780", time.Now())
			c.peers.byHost["127.0.0.2:7780"].isDraining = isDraining
		}
		// The peer was told to stop at the same time, and its next heartbeat says so.
		hear(false)
		go c.Leave(t.Context())
		time.Sleep(heartbeatInterval)
		hear(true)
		time.Sleep(5 * time.Second)
		storeTurn(t, c, newKeptTurn("first", ""))
		require.False(t, c.peers.selfHasLeft())
		hear(false)
		time.Sleep(2 * heartbeatInterval)
		synctest.Wait()
		require.True(t, c.peers.selfHasLeft(), "the slots are handed over once a host stays")
		require.False(t, c.isServing())
	})
}
