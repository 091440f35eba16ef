package settings_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/settings"
)

// generateDocument returns settings with workspaces under ten parents and with upstreams spread over 12 services.
func generateDocument(workspaces, upstreams int) []byte {
	var doc strings.Builder
	doc.WriteString("workspaces:\n")
	const parents = 10
	for parent := range parents {
		fmt.Fprintf(&doc, "  operator-%d:\n    rate: 40/s\n    burst: 80\n    services: [model-0, model-1]\n    workspaces:\n", parent)
		for i := parent; i < workspaces; i += parents {
			fmt.Fprintf(&doc, "      workspace-%04d: {rate: 12/s, budget: 460k tokens}\n", i)
		}
	}
	doc.WriteString("services:\n")
	const services = 12
	for service := range services {
		fmt.Fprintf(&doc, "  model-%d:\n    kind: engine\n    model: model-%d\n    upstreams:\n", service, service)
		for i := service; i < upstreams; i += services {
			fmt.Fprintf(&doc, "      - {name: runner-%05d, address: \"10.0.%d.%d:8000\", failure-domain: domain-%02d}\n",
				i, i/250, i%250, i%16)
		}
	}

	return []byte(doc.String())
}

// BenchmarkParseFleet measures the time to parse a settings document and the heap size of the result.
func BenchmarkParseFleet(b *testing.B) {
	for _, size := range []struct{ workspaces, upstreams int }{
		{16, 32}, {1000, 32}, {8500, 32}, {8500, 10_000},
	} {
		b.Run(fmt.Sprintf("workspaces=%d/upstreams=%d", size.workspaces, size.upstreams), func(b *testing.B) {
			source := generateDocument(size.workspaces, size.upstreams)
			b.SetBytes(int64(len(source)))
			b.ReportAllocs()
			var fleet *settings.Fleet
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				var findings []settings.Finding
				fleet, findings = settings.Parse("settings", source)
				require.Empty(b, findings)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
			b.ReportMetric(float64(len(source)), "document-bytes")
			require.NotEmpty(b, fleet.Workspaces)
		})
	}
}
