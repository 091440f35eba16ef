package gatewayhost_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/platform/standin"
)

func TestUpstreamThatFailsAllRequestsDoesNotAttractLoad(t *testing.T) {
	for _, tt := range []struct {
		name    string
		fail    func(c *testCluster)
		newCall func(int64) standin.CallerRequest
	}{
		{"plain", func(c *testCluster) { c.plainUpstreams[0].SetServerErrors(true) }, newLookup},
		{"stream", func(c *testCluster) { c.engines[0].SetServerErrors(true) }, newDraft},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newTestCluster(t, 3)
			for _, upstream := range c.plainUpstreams {
				upstream.ResponseDelay = 20 * time.Millisecond
			}
			tt.fail(c)
			statuses := c.sendConcurrently(3*time.Second, tt.newCall)
			total := statuses[http.StatusOK] + statuses[http.StatusInternalServerError]
			require.Less(t, statuses[http.StatusInternalServerError], total/8, "%v", statuses)
		})
	}
}

func TestServerErrorsThatOneHostReceivesAreKnownToOthers(t *testing.T) {
	c := newTestCluster(t, 3)
	c.plainUpstreams[0].SetServerErrors(true)
	response := c.doUntilStatus("host-0", newLookup(0), http.StatusInternalServerError)
	require.NotEmpty(t, response.Header.Get("Response-Signature"))
	time.Sleep(400 * time.Millisecond)
	for range 3 {
		require.Equal(t, http.StatusOK, c.do("host-1", newLookup(0)).Status)
		require.Equal(t, http.StatusOK, c.do("host-2", newLookup(0)).Status)
	}
}
