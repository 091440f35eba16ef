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

// Bounds and precision of the recorded latencies, in microseconds and digits.
const (
	lowest  = 1
	highest = int64(time.Hour / time.Microsecond)
	digits  = 3
)

// Latency is a distribution of program latencies in milliseconds.
type Latency struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
	Max float64 `json:"max-ms"`
}

// Served tells how a workspace fared.
type Served struct {
	Workspace id.Workspace `json:"workspace"`
	Programs  int          `json:"programs"`
	// Slowdown is the mean time of its programs' calls against running alone.
	Slowdown float64 `json:"slowdown"`
}

// Refused counts the refusals of a kind.
type Refused struct {
	Kind   apierror.Kind `json:"kind"`
	Within int           `json:"within-rate"`
	Beyond int           `json:"beyond-rate"`
}

// Report is what a run of the load showed.
type Report struct {
	Arrivals string  `json:"arrivals"`
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"programs-per-second"`
	Seconds  float64 `json:"seconds"`
	Started  int     `json:"programs-started"`
	Finished int     `json:"programs-finished"`
	Failed   int     `json:"programs-failed"`
	// OverBudget counts the programs that their workspace's budget ended.
	OverBudget int       `json:"programs-over-budget"`
	Latency    Latency   `json:"program-latency"`
	Wasted     float64   `json:"wasted-cache"`
	Worst      Served    `json:"worst-served"`
	Served     []Served  `json:"workspaces"`
	WithinBad  int       `json:"refused-within-rate"`
	Refused    []Refused `json:"refusals"`
	Errors     []string  `json:"errors,omitempty"`
}

// maxErrors bounds the errors that a report quotes.
const maxErrors = 5

// recorder collects what programs went through.
type recorder struct {
	now func() time.Time

	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	started   int
	failed    int
	over      int
	slowdowns map[id.Workspace][]float64
	prompts   id.Tokens
	wasted    id.Tokens
	refusals  map[apierror.Kind]*Refused
	problems  []string
}

func newRecorder(now func() time.Time) *recorder {
	return &recorder{now: now, latency: hdrhistogram.New(lowest, highest, digits)}
}

// program runs one program and records it.
func (r *recorder) program(ctx context.Context, opts *LoadOptions, a arrival) {
	r.mu.Lock()
	r.started++
	r.mu.Unlock()
	began := r.now()
	current := &run{tenant: a.tenant, opts: opts, recorder: r}
	err := current.program(ctx, a.agent)
	took := r.now().Sub(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	if overBudget(err) {
		r.over++

		return
	}
	if err != nil {
		r.failed++
		if len(r.problems) < maxErrors {
			r.problems = append(r.problems, err.Error())
		}

		return
	}
	r.latency.RecordValue(took.Microseconds()) //nolint:errcheck // beyond the highest value is of no interest
	if r.slowdowns == nil {
		r.slowdowns = make(map[id.Workspace][]float64)
	}
	alone := time.Duration(current.calls) * a.tenant.alone
	name := a.tenant.workspace.ID
	r.slowdowns[name] = append(r.slowdowns[name], (took-current.pauses).Seconds()/max(alone.Seconds(), time.Millisecond.Seconds()))
}

func overBudget(err error) bool {
	var refused *apierror.Error

	return errors.As(err, &refused) && refused.Kind == apierror.BudgetExhausted
}

// prompt counts a call's prompt tokens and those computed again although an earlier turn had them cached.
func (r *recorder) prompt(tokens, known, cached id.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prompts += tokens
	r.wasted += max(0, known-cached)
}

func (r *recorder) refused(kind apierror.Kind, within bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusals == nil {
		r.refusals = make(map[apierror.Kind]*Refused)
	}
	counted, ok := r.refusals[kind]
	if !ok {
		counted = &Refused{Kind: kind}
		r.refusals[kind] = counted
	}
	if within {
		counted.Within++
	} else {
		counted.Beyond++
	}
}

func (r *recorder) progress(total int) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return fmt.Sprintf("%d of %d programs started, %d finished, %d failed, p95 %.0f ms",
		r.started, total, r.latency.TotalCount(), r.failed, r.millis(95))
}

func (r *recorder) millis(quantile float64) float64 {
	return float64(r.latency.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
}

func (r *recorder) report(opts *LoadOptions, took time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Arrivals: opts.Arrivals, Seed: opts.Seed, Rate: opts.Rate, Seconds: took.Seconds(),
		Started: r.started, Finished: int(r.latency.TotalCount()), Failed: r.failed, OverBudget: r.over,
		Latency: Latency{P50: r.millis(50), P95: r.millis(95), P99: r.millis(99), Max: r.millis(100)},
		Wasted:  float64(r.wasted) / float64(max(1, r.prompts)),
		Errors:  r.problems,
	}
	for workspace, values := range r.slowdowns {
		var sum float64
		for _, v := range values {
			sum += v
		}
		report.Served = append(report.Served, Served{Workspace: workspace, Programs: len(values), Slowdown: sum / float64(len(values))})
	}
	slices.SortFunc(report.Served, func(a, b Served) int { return strings.Compare(string(a.Workspace), string(b.Workspace)) })
	for _, served := range report.Served {
		if served.Slowdown > report.Worst.Slowdown {
			report.Worst = served
		}
	}
	for _, counted := range r.refusals {
		report.Refused = append(report.Refused, *counted)
		report.WithinBad += counted.Within
	}
	slices.SortFunc(report.Refused, func(a, b Refused) int { return strings.Compare(string(a.Kind), string(b.Kind)) })

	return report
}

// print writes the report for people.
func (r *Report) print(streams cmdutil.IOStreams) error {
	out := streams.Out
	fmt.Fprintf(out, "%s arrivals, %g programs a second, seed %d: %d programs in %.1f s, %d finished, %d over budget, %d failed\n\n",
		r.Arrivals, r.Rate, r.Seed, r.Started, r.Seconds, r.Finished, r.OverBudget, r.Failed)
	fmt.Fprintf(out, "program latency       p50 %.0f ms, p95 %.0f ms, p99 %.0f ms, longest %.0f ms\n",
		r.Latency.P50, r.Latency.P95, r.Latency.P99, r.Latency.Max)
	fmt.Fprintf(out, "wasted cache          %.3f of the prompt tokens\n", r.Wasted)
	fmt.Fprintf(out, "worst-served          %s, slowdown %.2f\n", r.Worst.Workspace, r.Worst.Slowdown)
	fmt.Fprintf(out, "refused within rate   %d\n\n", r.WithinBad)
	rows := make([]cmdutil.Row, 0, len(r.Served))
	for _, served := range r.Served {
		rows = append(rows, cmdutil.Row{string(served.Workspace), fmt.Sprint(served.Programs), fmt.Sprintf("%.2f", served.Slowdown)})
	}
	if err := cmdutil.PrintTable(streams, cmdutil.Row{"workspace", "programs", "slowdown"}, rows); err != nil {
		return err
	}
	for _, refused := range r.Refused {
		fmt.Fprintf(out, "refused %s: %d within rate, %d beyond\n", refused.Kind, refused.Within, refused.Beyond)
	}
	for _, problem := range r.Errors {
		fmt.Fprintf(out, "failed: %s\n", problem)
	}

	return nil
}
