package placement_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/placement"
)

// BenchmarkChoose places one call among the engines of a model.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{2, 12, 52, 833, 10_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			var before, after runtime.MemStats
			now := time.Unix(1000, 0)
			runtime.GC()
			runtime.ReadMemStats(&before)
			x := &placement.Index{}
			for i := range engines {
				name := id.Upstream(fmt.Sprintf("runner-%05d", i))
				x.Set(name, "domain-01")
				x.Report(name, now.Add(-time.Second), placement.Load{Slots: 64, Running: i % 64, PrefillPerSecond: 20_000})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			req := placement.Request{PromptTokens: 4000, FailureDomain: "domain-01"}
			b.ReportAllocs()
			for b.Loop() {
				x.Choose(now, &req)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(engines), "heap-bytes/engine")
		})
	}
}
