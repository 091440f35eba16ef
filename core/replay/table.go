package replay

import (
	"fmt"
	"strings"
	"time"
)

// TableHeader is the head of a Markdown table of results.
const TableHeader = `| policy | p50 s | p95 s | p99 s | wasted | worst | mean | urgent p99 s | routine p99 s | refused |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
`

// Row returns the result as a row of a Markdown table, with workspaces left out of the fairness columns.
func (r *Result) Row(s Scenario) string {
	worst, mean := r.Fairness(s.Flooders()...)

	return fmt.Sprintf("| %s | %.1f | %.1f | %.1f | %.3f | %.2f | %.2f | %.2f | %.2f | %d of %d |\n", r.Policy,
		r.Latency(0.5).Seconds(), r.Latency(0.95).Seconds(), r.Latency(0.99).Seconds(), r.Wasted(), worst, mean,
		r.Wait(true, 0.99).Seconds(), r.Wait(false, 0.99).Seconds(), r.Refused, r.Calls)
}

// AloneRow returns the latencies that the scenario's programs have when each runs alone.
func AloneRow(s Scenario) string {
	var alone []time.Duration
	for _, p := range s.Programs() {
		alone = append(alone, s.Config.Model.alone(p.Agent))
	}

	return fmt.Sprintf("| each program alone | %.1f | %.1f | %.1f | | | | | | |\n",
		at(alone, 0.5).Seconds(), at(alone, 0.95).Seconds(), at(alone, 0.99).Seconds())
}

// Title describes the scenario in a line.
func (s Scenario) Title() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%s: %d hosts, %d engines, load %.1f", s.Name, s.User, s.Config.Hosts, s.Config.Engines, s.Base)
	if s.Surge != s.Base {
		fmt.Fprintf(&b, ", %.1f in the surge", s.Surge)
	}
	fmt.Fprintf(&b, ", seed %d)", s.Config.Seed)

	return b.String()
}
