package memorybudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/memorybudget"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// Guards against accounting that drifts: the bytes never exceed the limit, always equal the sum over the holders, and return to
// zero once each holder has ended, in any order of events.
func TestBytesReturnToZeroAfterAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, holders = 1000, 5
		budget := memorybudget.New(limit)
		held := make(map[memorybudget.Holder]int64)
		now := start
		drawHolder := func() memorybudget.Holder { return memorybudget.Holder(rapid.IntRange(1, holders).Draw(t, "holder")) }
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				holder, bytes := drawHolder(), rapid.Int64Range(-10, 500).Draw(t, "bytes")
				fits := bytes >= 0 && budget.Used()+bytes <= limit
				require.Equal(t, fits, budget.Reserve(holder, bytes))
				if fits {
					held[holder] += bytes
				}
			},
			"release": func(t *rapid.T) {
				holder, bytes := drawHolder(), rapid.Int64Range(-10, 500).Draw(t, "bytes")
				budget.Release(holder, bytes)
				held[holder] -= max(0, min(bytes, held[holder]))
			},
			"end": func(*rapid.T) {
				holder := drawHolder()
				budget.ReleaseAll(holder)
				held[holder] = 0
			},
			"wait":     func(*rapid.T) { budget.SetWaiting(now, drawHolder()) },
			"progress": func(*rapid.T) { budget.SetProgress(drawHolder()) },
			"": func(t *rapid.T) {
				now = now.Add(time.Second)
				sum := int64(0)
				for holder := memorybudget.Holder(1); holder <= holders; holder++ {
					require.Equal(t, held[holder], budget.Held(holder))
					sum += held[holder]
				}
				require.Equal(t, sum, budget.Used())
				require.LessOrEqual(t, sum, int64(limit))
			},
		})
		for holder := memorybudget.Holder(1); holder <= holders; holder++ {
			budget.ReleaseAll(holder)
		}
		require.Zero(t, budget.Used())
	})
}

func TestLargestHolderWithoutProgressIsIdle(t *testing.T) {
	budget := memorybudget.New(100)
	require.True(t, budget.Reserve(1, 50))
	require.True(t, budget.Reserve(2, 20))
	require.True(t, budget.Reserve(3, 30))
	require.False(t, budget.Reserve(4, 1))
	_, ok := budget.LargestIdle(start, 0)
	require.False(t, ok, "none waits for its caller")
	budget.SetWaiting(start, 2)
	budget.SetWaiting(start, 3)
	_, ok = budget.LargestIdle(start.Add(time.Second), 2*time.Second)
	require.False(t, ok, "none has waited long enough")
	holder, ok := budget.LargestIdle(start.Add(2*time.Second), 2*time.Second)
	require.True(t, ok)
	require.Equal(t, memorybudget.Holder(3), holder, "the largest holder is still in progress")
	budget.SetProgress(3)
	holder, _ = budget.LargestIdle(start.Add(2*time.Second), 2*time.Second)
	require.Equal(t, memorybudget.Holder(2), holder)
	budget.ReleaseAll(2)
	_, ok = budget.LargestIdle(start.Add(2*time.Second), 2*time.Second)
	require.False(t, ok)
}
