package engine_test

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
	"cardamomward/io/engine"
)

// watcher counts the reports that it hears of.
type watcher struct{ reports atomic.Int64 }

func (w *watcher) Configured(id.Service, []*engine.Upstream) {}

func (w *watcher) Reported(u *engine.Upstream, _ time.Time, _ engine.Load, _ bool) {
	if u.Service() == "drafting" {
		w.reports.Add(1)
	}
}

func (w *watcher) CacheChanged(*engine.Upstream, []engine.CacheEvent, bool) {}

func fleetWith(address string, progress time.Duration) *settings.Fleet {
	return &settings.Fleet{Services: map[id.Service]*settings.Service{"drafting": {
		ID: "drafting", Kind: settings.KindEngine, ProgressTimeout: progress,
		Upstreams: []settings.Upstream{{ID: "draft-1", Address: address, FailureDomain: "domain-a"}},
	}}}
}

// The settings change while load reports come in; the race detector sees a field that both touch.
func TestConfigureWhilePolling(t *testing.T) {
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
	heard := &watcher{}
	pool := &engine.Pool{NewHTTP: func() *http.Client { return &http.Client{Transport: &http.Transport{}} }, Logger: logr.Discard(), Changed: func() {}, Watcher: heard}
	pool.Configure(fleetWith(listener.Addr().String(), time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		pool.Run(ctx)
	}()
	for i := 0; heard.reports.Load() < 3; i++ {
		pool.Configure(fleetWith(listener.Addr().String(), time.Second))
	}
	before := pool.Upstreams("drafting")[0]
	pool.Configure(fleetWith(listener.Addr().String(), 2*time.Second))
	require.Same(t, before, pool.Upstreams("drafting")[0])
	pool.Configure(fleetWith("127.0.0.1:1", 2*time.Second))
	require.NotSame(t, before, pool.Upstreams("drafting")[0])
	cancel()
	<-done
}
