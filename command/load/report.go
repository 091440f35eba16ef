package load

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cardamomward/command/cmdutil"
	"cardamomward/core/apierror"
	"cardamomward/core/id"
)

// Range of the latency histogram, in microseconds, and its precision, in significant decimal digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(time.Hour / time.Microsecond)
	latencyDigits    = 3
)

// LatencyQuantiles are quantiles of the program latency in milliseconds.
type LatencyQuantiles struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
	Max float64 `json:"max-ms"`
}

// WorkspaceReport is the result of the load for one workspace.
type WorkspaceReport struct {
	Workspace id.Workspace `json:"workspace"`
	// Programs is the number of finished programs.
	Programs int `json:"programs"`
	// Slowdown is the mean ratio of its programs' latency, without tool pauses, to the latency on an idle cluster.
	Slowdown float64 `json:"slowdown"`
}

// RefusalCount counts the refused requests of one error kind, within and beyond the rate of their workspace.
type RefusalCount struct {
	Kind       apierror.Kind `json:"kind"`
	WithinRate int           `json:"within-rate"`
	BeyondRate int           `json:"beyond-rate"`
}

// Report is the result of a load run.
type Report struct {
	Arrivals          string  `json:"arrivals"`
	Seed              uint64  `json:"seed"`
	ProgramsPerSecond float64 `json:"programs-per-second"`
	// DurationSeconds is the time from the start of the run to the end of its last program.
	DurationSeconds float64 `json:"seconds"`
	Started         int     `json:"programs-started"`
	Finished        int     `json:"programs-finished"`
	Failed          int     `json:"programs-failed"`
	// OverBudget counts the programs that exhausted their token budget.
	OverBudget int              `json:"programs-over-budget"`
	Latency    LatencyQuantiles `json:"program-latency"`
	// WastedCacheShare is the share of prompt tokens that were computed again although an earlier turn had cached them.
	WastedCacheShare float64 `json:"wasted-cache"`
	// WorstServed is the workspace with the largest slowdown.
	WorstServed WorkspaceReport   `json:"worst-served"`
	Workspaces  []WorkspaceReport `json:"workspaces"`
	// RefusedWithinRate counts the refused requests whose workspace was within its rate; exhausted budgets are not counted.
	RefusedWithinRate int            `json:"refused-within-rate"`
	Refusals          []RefusalCount `json:"refusals"`
	Errors            []string       `json:"errors,omitempty"`
}

// maxReportedErrors bounds the error texts in a report.
const maxReportedErrors = 5

// recorder collects the results of the programs of a run.
type recorder struct {
	now func() time.Time

	mu              sync.Mutex
	latencyMicros   *hdrhistogram.Histogram
	startedCount    int
	failedCount     int
	overBudgetCount int
	slowdowns       map[id.Workspace][]float64
	promptTokens    id.Tokens
	wastedTokens    id.Tokens
	refusals        map[apierror.Kind]*RefusalCount
	errorTexts      []string
}

func newRecorder(now func() time.Time) *recorder {
	return &recorder{now: now, latencyMicros: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)}
}

// runProgram runs one program and records its result.
func (r *recorder) runProgram(ctx context.Context, opts *LoadOptions, a programArrival) {
	r.mu.Lock()
	r.startedCount++
	r.mu.Unlock()
	startedAt := r.now()
	run := &programRun{workspace: a.workspace, opts: opts, recorder: r}
	err := run.runProgram(ctx, a.agent)
	elapsed := r.now().Sub(startedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	if isBudgetExhausted(err) {
		r.overBudgetCount++

		return
	}
	if err != nil {
		r.failedCount++
		if len(r.errorTexts) < maxReportedErrors {
			r.errorTexts = append(r.errorTexts, err.Error())
		}

		return
	}
	r.latencyMicros.RecordValue(elapsed.Microseconds()) //nolint:errcheck // latencies beyond an hour are not recorded
	if r.slowdowns == nil {
		r.slowdowns = make(map[id.Workspace][]float64)
	}
	unloadedTime := time.Duration(run.callCount) * a.workspace.unloadedCallTime
	workspaceID := a.workspace.settings.ID
	r.slowdowns[workspaceID] = append(r.slowdowns[workspaceID], (elapsed-run.totalPause).Seconds()/max(unloadedTime.Seconds(), time.Millisecond.Seconds()))
}

func isBudgetExhausted(err error) bool {
	var apiErr *apierror.Error

	return errors.As(err, &apiErr) && apiErr.Kind == apierror.BudgetExhausted
}

// recordPrompt records a call's prompt tokens, and as wasted those that were computed again although an earlier turn of
// the program had them cached.
func (r *recorder) recordPrompt(tokens, previouslyCached, cached id.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.promptTokens += tokens
	r.wastedTokens += max(0, previouslyCached-cached)
}

func (r *recorder) recordRefusal(kind apierror.Kind, withinRate bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusals == nil {
		r.refusals = make(map[apierror.Kind]*RefusalCount)
	}
	count, ok := r.refusals[kind]
	if !ok {
		count = &RefusalCount{Kind: kind}
		r.refusals[kind] = count
	}
	if withinRate {
		count.WithinRate++
	} else {
		count.BeyondRate++
	}
}

func (r *recorder) formatProgress(total int) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return fmt.Sprintf("%d of %d programs started, %d finished, %d failed, p95 %.0f ms",
		r.startedCount, total, r.latencyMicros.TotalCount(), r.failedCount, r.percentileMillis(95))
}

// percentileMillis returns a percentile, from 0 to 100, of the program latency in milliseconds.
func (r *recorder) percentileMillis(percentile float64) float64 {
	return float64(r.latencyMicros.ValueAtQuantile(percentile)) / float64(time.Millisecond/time.Microsecond)
}

func (r *recorder) buildReport(opts *LoadOptions, elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Arrivals: opts.Arrivals, Seed: opts.Seed, ProgramsPerSecond: opts.ProgramsPerSecond, DurationSeconds: elapsed.Seconds(),
		Started: r.startedCount, Finished: int(r.latencyMicros.TotalCount()), Failed: r.failedCount, OverBudget: r.overBudgetCount,
		Latency:          LatencyQuantiles{P50: r.percentileMillis(50), P95: r.percentileMillis(95), P99: r.percentileMillis(99), Max: r.percentileMillis(100)},
		WastedCacheShare: float64(r.wastedTokens) / float64(max(1, r.promptTokens)),
		Errors:           r.errorTexts,
	}
	for workspaceID, values := range r.slowdowns {
		var sum float64
		for _, v := range values {
			sum += v
		}
		report.Workspaces = append(report.Workspaces, WorkspaceReport{Workspace: workspaceID, Programs: len(values), Slowdown: sum / float64(len(values))})
	}
	slices.SortFunc(report.Workspaces, func(a, b WorkspaceReport) int { return strings.Compare(string(a.Workspace), string(b.Workspace)) })
	for _, workspace := range report.Workspaces {
		if workspace.Slowdown > report.WorstServed.Slowdown {
			report.WorstServed = workspace
		}
	}
	for _, count := range r.refusals {
		report.Refusals = append(report.Refusals, *count)
		report.RefusedWithinRate += count.WithinRate
	}
	slices.SortFunc(report.Refusals, func(a, b RefusalCount) int { return strings.Compare(string(a.Kind), string(b.Kind)) })

	return report
}

// printText writes the report as readable text.
func (r *Report) printText(streams cmdutil.IOStreams) error {
	out := streams.Out
	fmt.Fprintf(out, "%s arrivals, %g programs a second, seed %d: %d programs in %.1f s, %d finished, %d over budget, %d failed\n\n",
		r.Arrivals, r.ProgramsPerSecond, r.Seed, r.Started, r.DurationSeconds, r.Finished, r.OverBudget, r.Failed)
	fmt.Fprintf(out, "program latency       p50 %.0f ms, p95 %.0f ms, p99 %.0f ms, longest %.0f ms\n",
		r.Latency.P50, r.Latency.P95, r.Latency.P99, r.Latency.Max)
	fmt.Fprintf(out, "wasted cache          %.3f of the prompt tokens\n", r.WastedCacheShare)
	fmt.Fprintf(out, "worst-served          %s, slowdown %.2f\n", r.WorstServed.Workspace, r.WorstServed.Slowdown)
	fmt.Fprintf(out, "refused within rate   %d\n\n", r.RefusedWithinRate)
	rows := make([]cmdutil.Row, 0, len(r.Workspaces))
	for _, workspace := range r.Workspaces {
		rows = append(rows, cmdutil.Row{string(workspace.Workspace), fmt.Sprint(workspace.Programs), fmt.Sprintf("%.2f", workspace.Slowdown)})
	}
	if err := cmdutil.PrintTable(streams, cmdutil.Row{"workspace", "programs", "slowdown"}, rows); err != nil {
		return err
	}
	for _, count := range r.Refusals {
		fmt.Fprintf(out, "refused %s: %d within rate, %d beyond\n", count.Kind, count.WithinRate, count.BeyondRate)
	}
	for _, errorText := range r.Errors {
		fmt.Fprintf(out, "failed: %s\n", errorText)
	}

	return nil
}
