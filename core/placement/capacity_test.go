package placement_test

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	"cardamomward/core/id"
	"cardamomward/core/placement"
)

// BenchmarkChoose places one call among the engines of a model.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{2, 12, 52, 833} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			now := time.Unix(1000, 0)
			candidates := make([]placement.Candidate, engines)
			for i := range candidates {
				candidates[i] = placement.Candidate{
					Upstream: id.Upstream(fmt.Sprintf("runner-%05d", i)), FailureDomain: "domain-01",
					Slots: 64, Running: i % 64, Reported: now.Add(-time.Second), Own: i % 3,
					PrefillPerSecond: 20_000,
				}
			}
			req := placement.Request{PromptTokens: 4000, FailureDomain: "domain-01"}
			b.ReportAllocs()
			for b.Loop() {
				placement.Choose(now, req, candidates)
			}
			b.ReportMetric(float64(unsafe.Sizeof(placement.Candidate{})), "bytes/candidate")
		})
	}
}
