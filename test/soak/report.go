package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"cardamomward/test/soak/check"
)

// writeHistory writes what was observed to a file, one line each.
func writeHistory(name string, result *Result) error {
	file, err := os.Create(name) //nolint:gosec // a file in the run's directory
	if err != nil {
		return err
	}
	w := bufio.NewWriter(file)
	h := result.History
	for _, v := range result.Violations {
		fmt.Fprintln(w, "violation", v)
	}
	for _, d := range h.Disturbances {
		fmt.Fprintf(w, "%s disturbance %s host %q until %s\n", d.From.Format(logTimeFormat), d.Kind, d.Host, d.To.Format(logTimeFormat))
	}
	for i := range h.Requests {
		r := &h.Requests[i]
		fmt.Fprintf(w, "%s %s %s to %s operation %s key %s program %q previous %q until %s status %d from-upstream %t whole %t left %t body %.400q\n",
			r.SentAt.Format(logTimeFormat), r.ID, r.Kind, r.Host, r.Operation, r.Key, r.Program, r.Previous, r.EndedAt.Format(logTimeFormat), r.Status,
			r.IsFromUpstream, r.IsWhole, r.HasLeft, r.Body)
	}
	for _, e := range h.Executions {
		fmt.Fprintf(w, "%s execution of %s at %s body %.400q\n", e.At.Format(logTimeFormat), e.Request, e.Upstream, e.Body)
	}

	return errors.Join(w.Flush(), file.Close())
}

// Summary returns one line on the result of a run.
func (r *Result) Summary() string {
	var peakBytes int64
	peakFiles := 0
	for _, u := range r.History.Usages {
		peakBytes, peakFiles = max(peakBytes, u.Bytes), max(peakFiles, u.Files)
	}
	verdict := "passed"
	if len(r.Violations) > 0 {
		verdict = fmt.Sprintf("failed with %d violations", len(r.Violations))
	}

	return fmt.Sprintf("seed %d %s: %d faults, %d requests, %d executions, %d exits, peak %d MB and %d files of a host", r.Plan.Seed, verdict,
		len(r.Plan.Faults), len(r.History.Requests), len(r.History.Executions), len(r.History.Exits), peakBytes>>20, peakFiles)
}

// BreaksPromiseOf reports whether the run has broken one of the promises that another run has broken.
func (r *Result) BreaksPromiseOf(other *Result) bool {
	return slices.ContainsFunc(r.Violations, func(v check.Violation) bool {
		return slices.ContainsFunc(other.Violations, func(w check.Violation) bool { return v.Promise == w.Promise })
	})
}

// statusNames are the columns of the report's plot.
var statusNames = []string{"whole", "cut", "rejected", "failed", "none"}

// column returns the index in statusNames of a response.
func column(r *check.Request) int {
	switch {
	case r.Status == 0:
		return 4
	case r.Status == 200 && (r.IsWhole || r.HasLeft):
		return 0
	case r.Status == 200:
		return 1
	case r.Status == 503 || r.Status < 500:
		return 2
	default:
		return 3
	}
}

// WriteReport writes the plan, a plot of the faults against the responses in each second, and the violations.
func (r *Result) WriteReport(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintln(&b, r.Summary())
	seconds := 0
	counts := make(map[int][]int)
	for i := range r.History.Requests {
		request := &r.History.Requests[i]
		second := int(request.SentAt.Sub(r.StartedAt).Seconds())
		if request.SentAt.Before(r.StartedAt) {
			continue
		}
		if counts[second] == nil {
			counts[second] = make([]int, len(statusNames))
		}
		counts[second][column(request)]++
		seconds = max(seconds, second)
	}
	fmt.Fprintf(&b, "\nsecond %s  faults\n", strings.Join(statusNames, " "))
	for second := range seconds + 1 {
		row := counts[second]
		if row == nil {
			row = make([]int, len(statusNames))
		}
		fmt.Fprintf(&b, "%6d", second)
		for i, name := range statusNames {
			fmt.Fprintf(&b, " %*d", len(name), row[i])
		}
		for _, f := range r.Plan.Faults {
			if int(f.At.Seconds()) <= second && second <= int((f.At+f.For).Seconds()) {
				fmt.Fprintf(&b, "  %s %s", f.Kind, f.Target)
			}
		}
		fmt.Fprintln(&b)
	}
	fmt.Fprintln(&b)
	for _, v := range r.Violations {
		fmt.Fprintln(&b, "violation", v)
	}
	_, err := io.WriteString(w, b.String())

	return err
}
