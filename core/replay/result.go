package replay

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// Result is what a run showed.
type Result struct {
	Policy Policy
	// Calls and Refused count model calls and refusals of them.
	Calls   int
	Refused int

	latencies  []time.Duration
	slowdowns  map[id.Workspace][]float64
	waits      [2][]time.Duration
	prompts    id.Tokens
	recomputed id.Tokens
}

func (r *Result) program(p *Program, took, alone time.Duration) {
	if r.slowdowns == nil {
		r.slowdowns = make(map[id.Workspace][]float64)
	}
	r.latencies = append(r.latencies, took)
	r.slowdowns[p.Workspace] = append(r.slowdowns[p.Workspace], took.Seconds()/alone.Seconds())
}

func (r *Result) waited(urgent bool, wait time.Duration) {
	class := 0
	if urgent {
		class = 1
	}
	r.waits[class] = append(r.waits[class], wait)
}

// prompt counts the prompt tokens that are computed although some engine had them cached before.
func (r *Result) prompt(c *call, once map[prompt.PrefixHash]struct{}) {
	r.prompts += c.promptTokens
	var known id.Tokens
	for _, l := range c.chain {
		if _, ok := once[l.prefix]; !ok {
			break
		}
		known += l.tokens
	}
	r.recomputed += max(0, known-c.cached)
}

// Latency returns a quantile of the program latencies.
func (r *Result) Latency(quantile float64) time.Duration { return at(r.latencies, quantile) }

// Wait returns a quantile of the time from a call's arrival to its start, for urgent or routine calls.
func (r *Result) Wait(urgent bool, quantile float64) time.Duration {
	if urgent {
		return at(r.waits[1], quantile)
	}

	return at(r.waits[0], quantile)
}

func at(values []time.Duration, quantile float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))

	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}

// Wasted returns the share of prompt tokens that were computed again although once cached.
func (r *Result) Wasted() float64 { return float64(r.recomputed) / float64(max(1, r.prompts)) }

// Slowdown is the mean program latency of a workspace against running alone.
type Slowdown struct {
	Workspace id.Workspace
	Mean      float64
}

// Slowdowns returns each workspace's slowdown but for those left out, the worst-served first.
func (r *Result) Slowdowns(without ...id.Workspace) []Slowdown {
	var all []Slowdown
	for workspace, values := range r.slowdowns {
		if slices.Contains(without, workspace) {
			continue
		}
		var sum float64
		for _, v := range values {
			sum += v
		}
		all = append(all, Slowdown{Workspace: workspace, Mean: sum / float64(len(values))})
	}
	slices.SortFunc(all, func(a, b Slowdown) int {
		return cmp.Or(cmp.Compare(b.Mean, a.Mean), cmp.Compare(a.Workspace, b.Workspace))
	})

	return all
}

// Fairness returns the slowdown of the worst-served workspace and the mean over workspaces.
func (r *Result) Fairness(without ...id.Workspace) (worst, mean float64) {
	all := r.Slowdowns(without...)
	if len(all) == 0 {
		return 0, 0
	}
	for _, s := range all {
		mean += s.Mean
	}

	return all[0].Mean, mean / float64(len(all))
}

// RefusedShare returns the part of the calls that were refused.
func (r *Result) RefusedShare() float64 { return float64(r.Refused) / float64(max(1, r.Calls)) }
