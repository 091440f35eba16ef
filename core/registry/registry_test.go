package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/registry"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func availableIDs(r *registry.Registry) []id.Upstream {
	var names []id.Upstream
	for _, instance := range r.Available("s") {
		names = append(names, instance.ID)
	}

	return names
}

func TestDrainingUpstreamsGetNoNewWork(t *testing.T) {
	var r registry.Registry
	r.Put(&registry.Instance{ID: "a", Service: "s"})
	r.Put(&registry.Instance{ID: "b", Service: "s"})
	require.Equal(t, []id.Upstream{"a", "b"}, availableIDs(&r))
	r.Put(&registry.Instance{ID: "a", Service: "s", Draining: true})
	require.Equal(t, []id.Upstream{"b"}, availableIDs(&r))
}

func TestRemovedUpstreamsGetNoNewWork(t *testing.T) {
	var r registry.Registry
	r.Put(&registry.Instance{ID: "a", Service: "s"})
	r.Remove(start, "a")
	require.Empty(t, availableIDs(&r))
}

func TestRemovalsAreDeferredAfterStoreOutage(t *testing.T) {
	var r registry.Registry
	r.Put(&registry.Instance{ID: "a", Service: "s"})
	r.Put(&registry.Instance{ID: "b", Service: "s"})
	r.DeferRemovals(start)
	r.Remove(start, "a")
	r.Remove(start, "b")
	require.Len(t, availableIDs(&r), 2)
	r.Put(&registry.Instance{ID: "a", Service: "s"})
	r.ApplyRemovals(start.Add(3 * time.Second))
	require.Equal(t, []id.Upstream{"a"}, availableIDs(&r))
}

func TestRemoveUnlistedRemovesEntriesMissingFromListing(t *testing.T) {
	var r registry.Registry
	r.Put(&registry.Instance{ID: "a", Service: "s"})
	r.Put(&registry.Instance{ID: "b", Service: "s"})
	r.RemoveUnlisted(start, map[id.Upstream]struct{}{"b": {}})
	require.Equal(t, []id.Upstream{"b"}, availableIDs(&r))
	_, ok := r.Get("a")
	require.False(t, ok)
	require.Equal(t, 1, r.Len())
}

func TestSoleVersionIsUnknownWhileVersionsDiffer(t *testing.T) {
	var r registry.Registry
	_, ok := r.SoleVersion("engines")
	require.False(t, ok)
	r.Put(&registry.Instance{ID: "a", Service: "engines", Version: "v1"})
	r.Put(&registry.Instance{ID: "b", Service: "desk", Version: "v2"})
	version, ok := r.SoleVersion("engines")
	require.True(t, ok)
	require.Equal(t, id.SoftwareVersion("v1"), version)
	r.Put(&registry.Instance{ID: "c", Service: "engines", Version: "v2", Draining: true})
	_, ok = r.SoleVersion("engines")
	require.False(t, ok, "a stream may have begun at the draining upstream")
}

func TestUpstreamsOfEvacuatedDomainGetNoNewWork(t *testing.T) {
	var r registry.Registry
	r.Put(&registry.Instance{ID: "a", Service: "s", FailureDomain: "zone-a"})
	require.True(t, r.Evacuate(start, "zone-a"))
	require.False(t, r.Evacuate(start, "zone-a"))
	r.Put(&registry.Instance{ID: "b", Service: "s", FailureDomain: "zone-b"})
	r.Put(&registry.Instance{ID: "c", Service: "s", FailureDomain: "zone-a"})
	r.Put(&registry.Instance{ID: "d", Service: "s", FailureDomain: "zone-a", Draining: true})
	require.Equal(t, []id.Upstream{"b"}, availableIDs(&r), "upstreams that register during the evacuation are excluded")
	require.Len(t, r.Evacuated("s"), 2)
	require.Len(t, r.InDomain("zone-a"), 3)
	require.True(t, r.EndEvacuation(start, "zone-a"))
	require.Equal(t, []id.Upstream{"a", "b", "c"}, availableIDs(&r))
	require.Empty(t, r.Evacuated("s"))
}

func TestEvacuationMissingFromListingEnds(t *testing.T) {
	var r registry.Registry
	r.Put(&registry.Instance{ID: "a", Service: "s", FailureDomain: "zone-a"})
	r.Put(&registry.Instance{ID: "b", Service: "s", FailureDomain: "zone-b"})
	r.Evacuate(start, "zone-a")
	r.Evacuate(start, "zone-b")
	ended := r.EndUnlistedEvacuations(start, map[id.FailureDomain]struct{}{"zone-b": {}})
	require.Equal(t, []id.FailureDomain{"zone-a"}, ended)
	require.Equal(t, []id.Upstream{"a"}, availableIDs(&r))
	require.Equal(t, 1, r.EvacuationCount())
}

func TestAddressThatIsReusedCountsAsEvacuated(t *testing.T) {
	var r registry.Registry
	r.Put(&registry.Instance{ID: "a", Service: "s", Address: "1", FailureDomain: "zone-a"})
	r.Put(&registry.Instance{ID: "b", Service: "s", Address: "1", FailureDomain: "zone-b"})
	r.Evacuate(start, "zone-b")
	domain, ok := r.DomainOfAddress("1")
	require.True(t, ok)
	require.Equal(t, id.FailureDomain("zone-b"), domain)
	_, ok = r.DomainOfAddress("2")
	require.False(t, ok)
}
