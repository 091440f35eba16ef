package reverseproxy

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/coldstart"
	"cardamomward/core/id"
	"cardamomward/core/inbound"
	"cardamomward/core/leaving"
	"cardamomward/core/registry"
	"cardamomward/core/routing"
	"cardamomward/core/workleft"
)

// fakeParts are the parts of a host on which the choice of an upstream depends.
type fakeParts struct {
	Discovery
	LoadTracker
	UpstreamLimiter
	WorkTracker

	instances []*registry.Instance
	uses      map[id.Upstream]leaving.Use
	// onAdmit is called while an admission is awaited.
	onAdmit func(instance *registry.Instance)
	// running are the running requests at upstreams, and delay is the admission delay of all.
	running map[id.Upstream]int
	delay   time.Duration
}

func (f *fakeParts) AvailableUpstreams(id.Service) []*registry.Instance  { return f.instances }
func (f *fakeParts) RunningRequests(upstream id.Upstream) int            { return f.running[upstream] }
func (f *fakeParts) PeerErrors(id.Upstream) float64                      { return 0 }
func (f *fakeParts) AdmissionDelay(*registry.Instance) time.Duration     { return f.delay }
func (f *fakeParts) RecordLeaving(*registry.Instance)                    {}
func (f *fakeParts) UpstreamUse(instance *registry.Instance) leaving.Use { return f.uses[instance.ID] }

func (f *fakeParts) ColdDelay(*registry.Instance, coldstart.Policy) (bool, time.Duration) {
	return false, 0
}

func (f *fakeParts) UpstreamWork(instance *registry.Instance, _ id.Tokens) workleft.Load {
	return workleft.Load{Running: f.running[instance.ID]}
}

func (f *fakeParts) AdmitToUpstream(_ context.Context, instance *registry.Instance, _ coldstart.Policy) (bool, time.Duration) {
	f.onAdmit(instance)

	return true, 0
}

// acquire returns the upstream that a request gets if an upstream's use changes while its admission is awaited.
func acquire(t *testing.T, change leaving.Use, upstreams ...id.Upstream) *registry.Instance {
	t.Helper()
	instance, _ := acquireAmong(t, false, change, upstreams...)

	return instance
}

// acquireAmong is like acquire for either choice of upstreams, and also returns the use of the upstream after the change.
func acquireAmong(t *testing.T, learnsCosts bool, change leaving.Use, upstreams ...id.Upstream) (*registry.Instance, leaving.Use) {
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
	p := &Proxy{Discovery: parts, Loads: parts, Limits: parts, Shutdowns: parts, Logger: logr.Discard(), Now: time.Now, LearnsCosts: learnsCosts, Work: parts}
	instance, _ := p.tryAcquireUpstream(t.Context(), &proxiedRequest{
		Request: &inbound.Request{ID: "request"}, service: &routing.Service{Name: "s"}, route: &routing.Route{},
	})
	if instance == nil {
		return nil, leaving.Never
	}
	require.NotEqual(t, leaving.Never, parts.uses[instance.ID])

	return instance, parts.uses[instance.ID]
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

// The choice by outstanding work draws a random sample, so the test makes it often.
func TestChoiceByWorkAvoidsUpstreamThatLeavesWhileAdmissionIsAwaited(t *testing.T) {
	for range 50 {
		_, use := acquireAmong(t, true, leaving.LastResort, "a", "b", "c")
		require.Equal(t, leaving.Unrestricted, use, "another can serve")
		instance, _ := acquireAmong(t, true, leaving.Never, "a")
		require.Nil(t, instance)
		instance, _ = acquireAmong(t, true, leaving.LastResort, "a")
		require.Equal(t, id.Upstream("a"), instance.ID, "no other can serve")
	}
}

// A full upstream that stays serves the request later, so it must not be sent to one that leaves.
func TestFirstTurnBesideFullUpstreamIsNotSentToUpstreamThatLeaves(t *testing.T) {
	for _, learnsCosts := range []bool{false, true} {
		parts := &fakeParts{
			instances: []*registry.Instance{{ID: "a", Service: "s", Concurrency: 1}, {ID: "b", Service: "s", Concurrency: 1}},
			uses:      map[id.Upstream]leaving.Use{"a": leaving.LastResort},
			running:   map[id.Upstream]int{"b": 1},
			delay:     time.Millisecond,
			onAdmit:   func(instance *registry.Instance) { t.Errorf("admission to %s", instance.ID) },
		}
		p := &Proxy{
			Discovery: parts, Loads: parts, Limits: parts, Shutdowns: parts, Logger: logr.Discard(), Now: time.Now, LearnsCosts: learnsCosts, Work: parts,
		}
		request := &proxiedRequest{Request: &inbound.Request{ID: "request"}, service: &routing.Service{Name: "s"}, route: &routing.Route{}}
		request.turn.Request = request.Request
		instance, retryAfter := p.tryAcquireUpstream(t.Context(), request)
		require.Nil(t, instance)
		require.Equal(t, retryDelay, retryAfter)
	}
}
