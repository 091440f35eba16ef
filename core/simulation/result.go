package simulation

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// Result holds the measurements of a run.
type Result struct {
	Policy Policy
	// CallCount is the number of model calls. RefusalCount is the number of refusals by admission control; a call that is
	// submitted again may be refused again.
	CallCount    int
	RefusalCount int

	latencies        []time.Duration
	slowdowns        map[id.Workspace][]float64
	queueWaits       [2][]time.Duration
	promptTokens     id.Tokens
	recomputedTokens id.Tokens
}

func (r *Result) recordProgram(p *Program, latency, unloaded time.Duration) {
	if r.slowdowns == nil {
		r.slowdowns = make(map[id.Workspace][]float64)
	}
	r.latencies = append(r.latencies, latency)
	r.slowdowns[p.Workspace] = append(r.slowdowns[p.Workspace], latency.Seconds()/unloaded.Seconds())
}

func (r *Result) recordQueueWait(urgent bool, wait time.Duration) {
	class := 0
	if urgent {
		class = 1
	}
	r.queueWaits[class] = append(r.queueWaits[class], wait)
}

// recordPrompt counts the prompt tokens that an engine computes although some engine has cached them before.
func (r *Result) recordPrompt(c *call, everCached map[prompt.PrefixHash]struct{}) {
	r.promptTokens += c.promptTokens
	var cachedBefore id.Tokens
	for _, part := range c.promptParts {
		if _, ok := everCached[part.prefix]; !ok {
			break
		}
		cachedBefore += part.tokens
	}
	r.recomputedTokens += max(0, cachedBefore-c.cachedTokens)
}

// ProgramLatency returns a quantile of the program latencies.
func (r *Result) ProgramLatency(quantile float64) time.Duration {
	return durationQuantile(r.latencies, quantile)
}

// QueueWait returns a quantile of the time from a call's submission to its start, for urgent or routine calls.
func (r *Result) QueueWait(urgent bool, quantile float64) time.Duration {
	if urgent {
		return durationQuantile(r.queueWaits[1], quantile)
	}

	return durationQuantile(r.queueWaits[0], quantile)
}

func durationQuantile(values []time.Duration, quantile float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))

	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}

// WastedCacheShare returns the share of prompt tokens that were computed again although an engine had cached them.
func (r *Result) WastedCacheShare() float64 {
	return float64(r.recomputedTokens) / float64(max(1, r.promptTokens))
}

// WorkspaceSlowdown is the mean ratio of a workspace's program latencies to their unloaded latencies.
type WorkspaceSlowdown struct {
	Workspace id.Workspace
	Mean      float64
}

// WorkspaceSlowdowns returns the slowdowns of all workspaces except the excluded ones, the worst first.
func (r *Result) WorkspaceSlowdowns(excluded ...id.Workspace) []WorkspaceSlowdown {
	var all []WorkspaceSlowdown
	for workspace, values := range r.slowdowns {
		if slices.Contains(excluded, workspace) {
			continue
		}
		var sum float64
		for _, v := range values {
			sum += v
		}
		all = append(all, WorkspaceSlowdown{Workspace: workspace, Mean: sum / float64(len(values))})
	}
	slices.SortFunc(all, func(a, b WorkspaceSlowdown) int {
		return cmp.Or(cmp.Compare(b.Mean, a.Mean), cmp.Compare(a.Workspace, b.Workspace))
	})

	return all
}

// WorstAndMeanSlowdown returns the largest slowdown of a workspace and the mean over all workspaces except the excluded
// ones.
func (r *Result) WorstAndMeanSlowdown(excluded ...id.Workspace) (worst, mean float64) {
	all := r.WorkspaceSlowdowns(excluded...)
	if len(all) == 0 {
		return 0, 0
	}
	for _, s := range all {
		mean += s.Mean
	}

	return all[0].Mean, mean / float64(len(all))
}

// RefusalsPerCall returns the number of refusals divided by the number of model calls; it may exceed 1.
func (r *Result) RefusalsPerCall() float64 {
	return float64(r.RefusalCount) / float64(max(1, r.CallCount))
}
