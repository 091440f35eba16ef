package affinity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/affinity"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func TestCachedPartsExpire(t *testing.T) {
	var index affinity.CacheIndex
	part := affinity.HashPromptPart("manual")
	require.True(t, index.RecordRead(start, "a", part), "the first read is announced")
	require.False(t, index.RecordRead(start.Add(time.Second), "a", part), "a repeated read is not announced")
	require.True(t, index.RecordRead(start.Add(10*time.Second), "a", part), "a read after the announce interval is announced again")
	require.True(t, index.IsCached(start.Add(20*time.Second), "a", part))
	require.False(t, index.IsCached(start.Add(20*time.Second), "b", part))
	require.Equal(t, 1, index.CountCached(start.Add(20*time.Second), "a"))
	require.Zero(t, index.CountCached(start.Add(20*time.Second), "b"))
	require.Zero(t, index.CountCached(start.Add(time.Minute), "a"), "an expired part takes memory")
	require.False(t, index.IsCached(start.Add(time.Minute), "a", part))
	index.RemoveExpired(start.Add(time.Minute))
	index.RecordRead(start, "a", part)
	index.RemoveUpstream("a")
	require.False(t, index.IsCached(start, "a", part))
}

func TestNewAffinityKeyStartsAtLatestLocationOfProgram(t *testing.T) {
	var locations affinity.Locations
	require.False(t, locations.HasProgram("p"))
	require.Empty(t, locations.Lookup("p", "root").Upstream)
	locations.Record(start, "p", "root", affinity.Location{Upstream: "a", CachedTokens: 700})
	locations.Record(start, "p", "helper", affinity.Location{Upstream: "b", CachedTokens: 900})
	require.Equal(t, affinity.Location{Upstream: "a", CachedTokens: 700}, locations.Lookup("p", "root"))
	require.Equal(t, affinity.Location{Upstream: "b", CachedTokens: 900}, locations.Lookup("p", "another"))
	locations.RemoveOlderThan(start.Add(time.Minute), 15*time.Second)
	require.False(t, locations.HasProgram("p"))
}
