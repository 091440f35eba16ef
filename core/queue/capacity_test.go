package queue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/queue"
)

func capacityItem(i int) queue.Item {
	return queue.Item{
		Workspace: id.Workspace(fmt.Sprintf("workspace-%04d", i%8500)),
		Weight:    1,
		Program:   id.Program(fmt.Sprintf("p-%020d", i)),
		Cost:      4000,
		Attained:  id.Tokens(i),
	}
}

// BenchmarkServe takes the next call and adds another while others wait.
func BenchmarkServe(b *testing.B) {
	for _, waiting := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			var before, after runtime.MemStats
			now := time.Unix(0, 0)
			var q queue.Queue[int]
			items := make([]queue.Item, waiting)
			for i := range items {
				items[i] = capacityItem(i)
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
				ticket, ok := q.Pop(now, take[int])
				if !ok {
					b.Fatal("nothing waits")
				}
				q.Charge(ticket.Item, ticket.Item.Cost)
				q.Push(now, ticket.Item, ticket.Value)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(waiting), "heap-bytes/call")
			require.Equal(b, waiting, q.Len())
		})
	}
}
