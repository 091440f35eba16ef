package evacuation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/evacuation"
	"cardamomward/core/id"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func TestRepeatedKeyDoesNotRestartEvacuation(t *testing.T) {
	var s evacuation.Set
	require.True(t, s.Put(start, "zone-a"))
	require.False(t, s.Put(start.Add(time.Second), "zone-a"))
	at, ok := s.LearnedAt("zone-a")
	require.True(t, ok)
	require.Equal(t, start, at)
}

func TestRemovalEndsOnlyTheDomainItNames(t *testing.T) {
	var s evacuation.Set
	require.False(t, s.Remove(start, "zone-a"), "a removal without an evacuation")
	s.Put(start, "zone-a")
	s.Put(start, "zone-b")
	require.True(t, s.Remove(start.Add(time.Second), "zone-a"))
	require.False(t, s.Contains("zone-a"))
	require.True(t, s.Contains("zone-b"))
	require.Equal(t, 1, s.Len())
}

func TestDomainsMissingFromListingAreRemoved(t *testing.T) {
	var s evacuation.Set
	s.Put(start, "zone-c")
	s.Put(start, "zone-a")
	s.Put(start, "zone-b")
	removed := s.RemoveUnlisted(start.Add(time.Second), map[id.FailureDomain]struct{}{"zone-b": {}})
	require.Equal(t, []id.FailureDomain{"zone-a", "zone-c"}, removed)
	require.True(t, s.Contains("zone-b"))
}

func TestEndIsKnownUntilNextEvacuation(t *testing.T) {
	var s evacuation.Set
	_, ok := s.EndedAt("zone-a")
	require.False(t, ok, "a domain that was never evacuated has no end of an evacuation")
	s.Put(start, "zone-a")
	s.Remove(start.Add(time.Second), "zone-a")
	at, ok := s.EndedAt("zone-a")
	require.True(t, ok)
	require.Equal(t, start.Add(time.Second), at)
	s.Put(start.Add(2*time.Second), "zone-a")
	_, ok = s.EndedAt("zone-a")
	require.False(t, ok)
}
