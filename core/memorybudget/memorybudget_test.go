package memorybudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/memorybudget"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// classes are those of the budget, in the order of the guarantees of the tests.
var classes = []memorybudget.Class{memorybudget.Callers, memorybudget.Relays, memorybudget.Calls, memorybudget.Storage}

// isOfCalls reports whether a class is one of which one holder always fits.
func isOfCalls(class memorybudget.Class) bool {
	return class == memorybudget.Calls || class == memorybudget.Storage
}

// Guards against accounting that drifts, and against classes that take what others are guaranteed: the bytes never exceed the limit,
// always equal the sum over the holders, and return to zero once each holder has ended, in any order of events; what a class is
// guaranteed fits at any time, and the first holder of a class of calls always fits.
func TestBytesReturnToZeroAfterAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, holders = 1000, 8
		budget := memorybudget.New(limit)
		guaranteed := make(map[memorybudget.Class]int64)
		for _, class := range classes {
			guaranteed[class] = rapid.Int64Range(0, limit/int64(len(classes))).Draw(t, "guaranteed")
			budget.Guarantee(class, guaranteed[class])
		}
		held := make(map[memorybudget.Holder]int64)
		now := start
		drawHolder := func() memorybudget.Holder { return memorybudget.Holder(rapid.IntRange(1, holders).Draw(t, "holder")) }
		classOf := func(holder memorybudget.Holder) memorybudget.Class { return classes[int(holder)%len(classes)] }
		usedBy := func(class memorybudget.Class) (sum int64) {
			for holder, bytes := range held {
				if classOf(holder) == class {
					sum += bytes
				}
			}

			return sum
		}
		fits := func(holder memorybudget.Holder, bytes int64) bool {
			class := classOf(holder)
			all := usedBy(class) + bytes
			for _, other := range classes {
				if other != class {
					all += max(usedBy(other), guaranteed[other])
				}
			}
			isFirst := isOfCalls(class) && usedBy(class) == held[holder]

			return bytes >= 0 && (bytes == 0 || all <= limit || usedBy(class)+bytes <= guaranteed[class] || isFirst)
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				holder, bytes := drawHolder(), rapid.Int64Range(-10, 500).Draw(t, "bytes")
				want := fits(holder, bytes)
				require.Equal(t, want, budget.Reserve(classOf(holder), holder, bytes))
				if want {
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
				withinLimit := int64(0)
				for _, class := range classes {
					require.Equal(t, usedBy(class), budget.UsedBy(class))
					if isOfCalls(class) {
						withinLimit += guaranteed[class]
					} else {
						withinLimit += usedBy(class)
					}
				}
				require.LessOrEqual(t, withinLimit, int64(limit), "only the only call of its class may exceed the limit")
			},
		})
		for holder := memorybudget.Holder(1); holder <= holders; holder++ {
			budget.ReleaseAll(holder)
		}
		require.Zero(t, budget.Used())
	})
}

// Guards against a class that takes all of the budget, and against a turn that is not stored since others hold the budget or since
// it is large.
func TestNoClassTakesWhatAnotherIsGuaranteed(t *testing.T) {
	for _, greedy := range classes {
		budget := memorybudget.New(1000)
		for _, class := range classes {
			budget.Guarantee(class, 200)
		}
		holder := memorybudget.Holder(1)
		for budget.Reserve(greedy, holder, 10) && holder < 1000 {
			holder++
		}
		require.EqualValues(t, 400, budget.UsedBy(greedy), "its guarantee and what nobody is guaranteed")
		for i, class := range classes {
			if class != greedy {
				require.True(t, budget.Reserve(class, memorybudget.Holder(2000+i), 200))
				require.Equal(t, isOfCalls(class), budget.Reserve(class, memorybudget.Holder(2000+i), 1), "class %d", class)
			}
		}
	}
	budget := memorybudget.New(1000)
	budget.Add(memorybudget.Callers, 1, 1000)
	require.True(t, budget.Reserve(memorybudget.Storage, 2, 5000), "one turn at a time is stored, however large it is")
	require.False(t, budget.Reserve(memorybudget.Storage, 3, 1))
	budget.ReleaseAll(2)
	require.True(t, budget.Reserve(memorybudget.Storage, 3, 1))
}

func TestLargestHolderWithoutProgressIsIdle(t *testing.T) {
	budget := memorybudget.New(100)
	require.True(t, budget.Reserve(memorybudget.Callers, 1, 50))
	require.True(t, budget.Reserve(memorybudget.Callers, 2, 20))
	require.True(t, budget.Reserve(memorybudget.Callers, 3, 30))
	require.False(t, budget.Reserve(memorybudget.Callers, 4, 1))
	_, ok := budget.LargestIdle(memorybudget.Callers, start, 0)
	require.False(t, ok, "none waits for its caller")
	budget.SetWaiting(start, 2)
	budget.SetWaiting(start, 3)
	_, ok = budget.LargestIdle(memorybudget.Callers, start.Add(time.Second), 2*time.Second)
	require.False(t, ok, "none has waited long enough")
	holder, ok := budget.LargestIdle(memorybudget.Callers, start.Add(2*time.Second), 2*time.Second)
	require.True(t, ok)
	require.Equal(t, memorybudget.Holder(3), holder, "the largest holder is still in progress")
	_, ok = budget.LargestIdle(memorybudget.Relays, start.Add(2*time.Second), 2*time.Second)
	require.False(t, ok, "the holder is of another class")
	budget.SetProgress(3)
	holder, _ = budget.LargestIdle(memorybudget.Callers, start.Add(2*time.Second), 2*time.Second)
	require.Equal(t, memorybudget.Holder(2), holder)
	budget.ReleaseAll(2)
	_, ok = budget.LargestIdle(memorybudget.Callers, start.Add(2*time.Second), 2*time.Second)
	require.False(t, ok)
}
