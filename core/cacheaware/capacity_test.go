package cacheaware_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cardamomward/core/cacheaware"
	"cardamomward/core/id"
)

// BenchmarkPick picks an engine for one call among all engines of a model.
func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{2, 12, 52, 833, 10_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			var before, after runtime.MemStats
			now := time.Unix(1000, 0)
			runtime.GC()
			runtime.ReadMemStats(&before)
			balancer := &cacheaware.Balancer{}
			for i := range engines {
				name := id.Upstream(fmt.Sprintf("runner-%05d", i))
				balancer.SetUpstream(name, "domain-01")
				balancer.RecordLoad(name, now.Add(-time.Second), cacheaware.LoadReport{MaxConcurrentCalls: 64, RunningCalls: i % 64, PrefillTokensPerSecond: 20_000})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			req := cacheaware.Request{PromptTokens: 4000, FailureDomain: "domain-01"}
			b.ReportAllocs()
			for b.Loop() {
				balancer.Pick(now, &req)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(engines), "heap-bytes/engine")
		})
	}
}
