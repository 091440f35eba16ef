package fairqueue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cardamomward/core/fairqueue"
	"cardamomward/core/id"
)

// newFilledQueue returns a queue with calls spread evenly over workspaces, and the items of its calls.
func newFilledQueue(workspaces, waiting int) (*fairqueue.Queue[int], []fairqueue.Item) {
	q := &fairqueue.Queue[int]{}
	items := make([]fairqueue.Item, waiting)
	for i := range items {
		items[i] = fairqueue.Item{
			Workspace:       id.Workspace(fmt.Sprintf("workspace-%d", i%workspaces)),
			Program:         id.Program(fmt.Sprintf("program-%d", i)),
			EstimatedTokens: id.Tokens(100 + i%900),
			Urgent:          i%50 == 0,
		}
		q.Push(start, items[i], i)
	}

	return q, items
}

func BenchmarkPushPopSettleCost(b *testing.B) {
	for _, size := range []struct{ workspaces, waiting int }{{8, 200}, {8, 2200}, {850, 8500}, {8500, 2200}, {8500, 85000}} {
		b.Run(fmt.Sprintf("workspaces=%d/waiting=%d", size.workspaces, size.waiting), func(b *testing.B) {
			q, items := newFilledQueue(size.workspaces, size.waiting)
			now := start
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				entry, _ := q.Pop(now, admitAll[int])
				q.SettleCost(entry.Item, entry.Item.EstimatedTokens+1)
				q.Push(now, items[i%len(items)], i)
			}
		})
	}
}

func BenchmarkMemoryPerWaitingCall(b *testing.B) {
	const few, many = 10_000, 110_000
	heap := func(waiting int) uint64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		q, _ := newFilledQueue(8500, waiting)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(q)

		return after.HeapAlloc - before.HeapAlloc
	}
	perCall := float64(heap(many)-heap(few)) / (many - few)
	for b.Loop() {
		runtime.KeepAlive(perCall)
	}
	b.ReportMetric(perCall, "B/call")
}
