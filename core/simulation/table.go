package simulation

import (
	"fmt"
	"strings"
	"time"
)

// MarkdownTableHeader is the header of a Markdown table with rows of MarkdownRow and UnloadedMarkdownRow.
const MarkdownTableHeader = `| policy | p50 s | p95 s | p99 s | wasted | worst | mean | urgent p99 s | routine p99 s | refused |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
`

// MarkdownRow formats the result as a row of a Markdown table. The slowdown columns exclude overloading workspaces.
func (r *Result) MarkdownRow(s Scenario) string {
	worst, mean := r.WorstAndMeanSlowdown(s.OverloadingWorkspaces()...)

	return fmt.Sprintf("| %s | %.1f | %.1f | %.1f | %.3f | %.2f | %.2f | %.2f | %.2f | %d of %d |\n", r.Policy,
		r.ProgramLatency(0.5).Seconds(), r.ProgramLatency(0.95).Seconds(), r.ProgramLatency(0.99).Seconds(), r.WastedCacheShare(), worst, mean,
		r.QueueWait(true, 0.99).Seconds(), r.QueueWait(false, 0.99).Seconds(), r.RefusalCount, r.CallCount)
}

// UnloadedMarkdownRow formats the latencies that the scenario's programs would have on idle engines as a row of a Markdown
// table.
func UnloadedMarkdownRow(s Scenario) string {
	var latencies []time.Duration
	for _, p := range s.GeneratePrograms() {
		latencies = append(latencies, s.Config.EngineModel.unloadedLatency(p.Agent))
	}

	return fmt.Sprintf("| each program alone | %.1f | %.1f | %.1f | | | | | | |\n",
		durationQuantile(latencies, 0.5).Seconds(), durationQuantile(latencies, 0.95).Seconds(), durationQuantile(latencies, 0.99).Seconds())
}

// Title describes the scenario in one line.
func (s Scenario) Title() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%s: %d hosts, %d engines, load %.1f", s.Name, s.Organization, s.Config.Hosts, s.Config.Engines, s.BaseLoad)
	if s.SurgeLoad != s.BaseLoad {
		fmt.Fprintf(&b, ", %.1f in the surge", s.SurgeLoad)
	}
	fmt.Fprintf(&b, ", seed %d)", s.Config.Seed)

	return b.String()
}
