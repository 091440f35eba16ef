package engineclient_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/settings"
	"cardamomward/io/engineclient"
)

// reportCounter is an observer that counts load reports.
type reportCounter struct{ reports atomic.Int64 }

func (c *reportCounter) UpstreamsConfigured(id.Service, []*engineclient.Upstream) {}

func (c *reportCounter) LoadReported(u *engineclient.Upstream, _ time.Time, _ engineclient.LoadReport, _ bool) {
	if u.Service() == "drafting" {
		c.reports.Add(1)
	}
}

func (c *reportCounter) CacheChanged(*engineclient.Upstream, []engineclient.CacheEvent, bool) {}

func fleetWithUpstream(address string, progressTimeout time.Duration) *settings.Fleet {
	return &settings.Fleet{Services: map[id.Service]*settings.Service{"drafting": {
		ID: "drafting", Kind: settings.KindEngine, ProgressTimeout: progressTimeout,
		Upstreams: []settings.Upstream{{ID: "draft-1", Address: address, FailureDomain: "domain-a"}},
	}}}
}

// Configure runs concurrently with polling, so that the race detector finds unsynchronized fields.
func TestConfigureWhilePollingKeepsUnchangedUpstreams(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(`{}`)) //nolint:errcheck // the poll fails without it
		}),
		ReadHeaderTimeout: time.Second,
	}
	go server.Serve(listener) //nolint:errcheck // ends with the test
	t.Cleanup(func() { server.Close() })
	observer := &reportCounter{}
	pool := &engineclient.Pool{NewHTTPClient: func() *http.Client { return &http.Client{Transport: &http.Transport{}} }, Logger: logr.Discard(), OnCapacityChange: func() {}, Observer: observer}
	pool.Configure(fleetWithUpstream(listener.Addr().String(), time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		pool.Run(ctx)
	}()
	for i := 0; observer.reports.Load() < 3; i++ {
		pool.Configure(fleetWithUpstream(listener.Addr().String(), time.Second))
	}
	before := pool.Upstreams("drafting")[0]
	pool.Configure(fleetWithUpstream(listener.Addr().String(), 2*time.Second))
	require.Same(t, before, pool.Upstreams("drafting")[0])
	pool.Configure(fleetWithUpstream("127.0.0.1:1", 2*time.Second))
	require.NotSame(t, before, pool.Upstreams("drafting")[0])
	cancel()
	<-done
}
