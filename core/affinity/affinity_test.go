package affinity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/affinity"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func TestCachedPartsExpire(t *testing.T) {
	var parts affinity.CacheIndex
	part := affinity.NewPromptPart("manual")
	require.True(t, parts.RecordRead(start, "a", part), "news")
	require.False(t, parts.RecordRead(start.Add(time.Second), "a", part), "no news")
	require.True(t, parts.RecordRead(start.Add(10*time.Second), "a", part), "worth telling again")
	require.True(t, parts.IsCached(start.Add(20*time.Second), "a", part))
	require.False(t, parts.IsCached(start.Add(20*time.Second), "b", part))
	require.False(t, parts.IsCached(start.Add(time.Minute), "a", part))
	parts.RemoveExpired(start.Add(time.Minute))
	parts.RecordRead(start, "a", part)
	parts.RemoveUpstream("a")
	require.False(t, parts.IsCached(start, "a", part))
}

func TestNewAffinityKeyStartsAtLatestLocationOfProgram(t *testing.T) {
	var lines affinity.Locations
	require.False(t, lines.HasProgram("p"))
	require.Empty(t, lines.Lookup("p", "root").Upstream)
	lines.Record(start, "p", "root", affinity.Location{Upstream: "a", CachedTokens: 700})
	lines.Record(start, "p", "helper", affinity.Location{Upstream: "b", CachedTokens: 900})
	require.Equal(t, affinity.Location{Upstream: "a", CachedTokens: 700}, lines.Lookup("p", "root"))
	require.Equal(t, affinity.Location{Upstream: "b", CachedTokens: 900}, lines.Lookup("p", "another"))
	lines.RemoveOlderThan(start.Add(time.Minute), 15*time.Second)
	require.False(t, lines.HasProgram("p"))
}
