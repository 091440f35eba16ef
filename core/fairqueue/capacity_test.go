package fairqueue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/fairqueue"
	"cardamomward/core/id"
)

func newCapacityItem(i int) fairqueue.Item {
	return fairqueue.Item{
		Workspace:       id.Workspace(fmt.Sprintf("workspace-%04d", i%8500)),
		Weight:          1,
		Program:         id.Program(fmt.Sprintf("p-%020d", i)),
		EstimatedTokens: 4000,
		AttainedTokens:  id.Tokens(i),
	}
}

// BenchmarkPopAndPush pops a call, settles it and pushes it again while a fixed number of calls wait.
func BenchmarkPopAndPush(b *testing.B) {
	for _, waiting := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			var before, after runtime.MemStats
			now := time.Unix(0, 0)
			var q fairqueue.Queue[int]
			items := make([]fairqueue.Item, waiting)
			for i := range items {
				items[i] = newCapacityItem(i)
			}
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i, item := range items {
				q.Push(now, item, i)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				entry, ok := q.Pop(now, admitAll[int])
				if !ok {
					b.Fatal("Pop returned no call although calls wait")
				}
				q.SettleCost(entry.Item, entry.Item.EstimatedTokens)
				q.Push(now, entry.Item, entry.Value)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(waiting), "heap-bytes/call")
			require.Equal(b, waiting, q.Len())
		})
	}
}
