package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cardamomward/core/simulation"
)

const (
	// surgeFactor multiplies the arrival rate in the middle third of a surge.
	surgeFactor = 3
	// overloadFactor multiplies the arrival rate of the first workspace in a flood.
	overloadFactor   = 6
	progressInterval = time.Second
)

// programArrival is a program that starts at an offset from the start of the run.
type programArrival struct {
	offset    time.Duration
	workspace *workspaceClient
	agent     simulation.Agent
}

// drawArrivals draws all programs of a run as a Poisson process; the same seed draws the same programs. A surge is drawn
// at the peak rate and thinned outside the middle third.
func drawArrivals(opts *LoadOptions, workspaces []*workspaceClient) []programArrival {
	r := rand.New(rand.NewPCG(opts.Seed, opts.Seed))
	var arrivals []programArrival
	var offset time.Duration
	peakRate := opts.ProgramsPerSecond
	switch ArrivalPattern(opts.Arrivals) {
	case Surge:
		peakRate *= surgeFactor
	case Flood:
		peakRate *= float64(len(workspaces)-1+overloadFactor) / float64(len(workspaces))
	case Steady:
	}
	for {
		offset += time.Duration(r.ExpFloat64() / peakRate * float64(time.Second))
		if offset > opts.ArrivalDuration {
			return arrivals
		}
		workspace := drawWorkspace(r, opts, workspaces)
		inMiddleThird := offset > opts.ArrivalDuration/3 && offset < 2*opts.ArrivalDuration/3
		thinningSample := r.Float64()
		if ArrivalPattern(opts.Arrivals) == Surge && !inMiddleThird && thinningSample > 1.0/surgeFactor {
			continue
		}
		arrivals = append(arrivals, programArrival{offset: offset, workspace: workspace, agent: workspace.generate(r)})
	}
}

// drawWorkspace draws a workspace; in a flood, the first one is drawn overloadFactor times as often as each other one.
func drawWorkspace(r *rand.Rand, opts *LoadOptions, workspaces []*workspaceClient) *workspaceClient {
	if ArrivalPattern(opts.Arrivals) != Flood {
		return workspaces[r.IntN(len(workspaces))]
	}

	return workspaces[max(0, r.IntN(len(workspaces)-1+overloadFactor)-overloadFactor+1)]
}

// runArrivals starts each program at its time, independent of the results of earlier ones, and waits for all of them.
func runArrivals(ctx context.Context, opts *LoadOptions, workspaces []*workspaceClient) *Report {
	rec := newRecorder(opts.Factory.Now)
	arrivals := drawArrivals(opts, workspaces)
	startedAt := opts.Factory.Now()
	stopProgress := startProgressReports(opts, rec, len(arrivals))
	var group sync.WaitGroup
	for _, a := range arrivals {
		sleepContext(ctx, a.offset-opts.Factory.Now().Sub(startedAt))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { rec.runProgram(ctx, opts, a) })
	}
	group.Wait()
	stopProgress()

	return rec.buildReport(opts, opts.Factory.Now().Sub(startedAt))
}

// startProgressReports prints progress to the error stream until the returned function is called.
func startProgressReports(opts *LoadOptions, rec *recorder, total int) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				fmt.Fprintln(opts.Factory.IOStreams.Err, rec.formatProgress(total))
			}
		}
	})

	return func() {
		close(done)
		group.Wait()
	}
}
