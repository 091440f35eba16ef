package reverseproxy

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/inbound"
	"cardamomward/core/leaving"
	"cardamomward/core/registry"
	"cardamomward/core/routing"
)

// fakeParts are the parts of a host on which the choice of an upstream depends.
type fakeParts struct {
	Discovery
	LoadTracker
	UpstreamLimiter

	instances []*registry.Instance
	uses      map[id.Upstream]leaving.Use
	// onAdmit is called while an admission is awaited.
	onAdmit func(instance *registry.Instance)
}

func (f *fakeParts) AvailableUpstreams(id.Service) []*registry.Instance  { return f.instances }
func (f *fakeParts) RunningRequests(id.Upstream) int                     { return 0 }
func (f *fakeParts) AdmissionDelay(*registry.Instance) time.Duration     { return 0 }
func (f *fakeParts) RecordLeaving(*registry.Instance)                    {}
func (f *fakeParts) UpstreamUse(instance *registry.Instance) leaving.Use { return f.uses[instance.ID] }

func (f *fakeParts) AdmitToUpstream(_ context.Context, instance *registry.Instance) (bool, time.Duration) {
	f.onAdmit(instance)

	return true, 0
}

// acquire returns the upstream that a request gets if an upstream's use changes while its admission is awaited.
func acquire(t *testing.T, change leaving.Use, upstreams ...id.Upstream) *registry.Instance {
	t.Helper()
	parts := &fakeParts{uses: make(map[id.Upstream]leaving.Use)}
	for _, upstream := range upstreams {
		parts.instances = append(parts.instances, &registry.Instance{ID: upstream, Service: "s", Concurrency: 1})
	}
	hasChanged := false
	parts.onAdmit = func(instance *registry.Instance) {
		if !hasChanged {
			hasChanged, parts.uses[instance.ID] = true, change
		}
	}
	p := &Proxy{Discovery: parts, Loads: parts, Limits: parts, Shutdowns: parts, Logger: logr.Discard(), Now: time.Now}
	instance, _ := p.tryAcquireUpstream(t.Context(), &proxiedRequest{
		Request: &inbound.Request{ID: "request"}, service: &routing.Service{Name: "s"}, route: &routing.Route{},
	})
	if instance != nil {
		require.NotEqual(t, leaving.Never, parts.uses[instance.ID])
	}

	return instance
}

func TestRequestThatWaitedForAdmissionDoesNotGoToUpstreamThatLeaves(t *testing.T) {
	require.NotEqual(t, acquire(t, leaving.Unrestricted, "a", "b").ID, acquire(t, leaving.LastResort, "a", "b").ID, "another can serve")
	require.Nil(t, acquire(t, leaving.Never, "a"))
	require.Equal(t, id.Upstream("a"), acquire(t, leaving.LastResort, "a").ID, "no other can serve")
}

func TestUpstreamThatHasShutDownIsNotAskedForAdmission(t *testing.T) {
	parts := &fakeParts{
		instances: []*registry.Instance{{ID: "a", Service: "s", Concurrency: 1}, {ID: "b", Service: "s", Concurrency: 1}},
		uses:      map[id.Upstream]leaving.Use{"a": leaving.Never},
	}
	p := &Proxy{Discovery: parts, Loads: parts, Limits: parts, Shutdowns: parts, Logger: logr.Discard(), Now: time.Now}
	eligible := p.eligibleUpstreams(&proxiedRequest{service: &routing.Service{Name: "s"}})
	require.Equal(t, parts.instances[1:], eligible, "an admission would take from the rate of a process that is gone")
	require.Len(t, parts.instances, 2, "the list of the registry is not changed")
}
