package reverseproxy

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/inbound"
	"cardamomward/core/registry"
	"cardamomward/core/retrypolicy"
	"cardamomward/core/routing"
	"cardamomward/core/streamorigin"
	"cardamomward/core/upstreamlimit"
	"cardamomward/io/upstreamclient"
	"cardamomward/platform/standin"
)

// sendParts are the parts of a host on which sending a request depends.
type sendParts struct {
	Discovery
	LoadTracker
	UpstreamLimiter
}

func (sendParts) IsEvacuated(id.FailureDomain) bool           { return false }
func (sendParts) AddRunningRequests(id.Upstream, int)         {}
func (sendParts) RecordUpstreamLimit(upstreamlimit.Statement) {}

func TestResumptionIsNotSentAfterHostWasFrozen(t *testing.T) {
	upstream := standin.NewUpstream("engine-0", "engines", 0)
	t.Cleanup(upstream.Close)
	for name, tt := range map[string]struct {
		frozen time.Duration
		want   int
	}{"running": {0, 1}, "frozen": {2 * time.Second, 0}} {
		before := len(upstream.ExecutedRequests())
		now := time.Now()
		p := &Proxy{Discovery: sendParts{}, Loads: sendParts{}, Limits: sendParts{}, UpstreamClient: &upstreamclient.Client{}, Logger: logr.Discard(), Now: func() time.Time { return now }}
		req := &proxiedRequest{
			Request: &inbound.Request{ID: "request-" + name, Method: "GET", Target: "/draft/", Host: "agents.example"}, route: &routing.Route{}, service: &routing.Service{},
			deadline: now.Add(time.Minute), origin: &streamorigin.Origin{Version: "v1"}, resumption: resumption{verifiedAt: now.Add(-tt.frozen)},
		}
		_, outcome := p.sendOnce(t.Context(), req, &registry.Instance{ID: "engine-0", Address: upstream.Address()})
		require.Len(t, upstream.ExecutedRequests(), before+tt.want, name)
		if tt.want == 0 {
			require.Equal(t, retrypolicy.NotSent, outcome, "the next candidate may be tried")
		}
	}
}
