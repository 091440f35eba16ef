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
	surgeFactor = 3
	floodFactor = 6
	// progressEvery is how often progress is told.
	progressEvery = time.Second
)

// arrival is a program that begins at a time after the start.
type arrival struct {
	at     time.Duration
	tenant *tenant
	agent  simulation.Agent
}

// arrivals draws all programs of a run; the same seed draws the same ones.
func arrivals(opts *LoadOptions, tenants []*tenant) []arrival {
	r := rand.New(rand.NewPCG(opts.Seed, opts.Seed))
	var list []arrival
	var now time.Duration
	peak := opts.Rate
	switch Arrivals(opts.Arrivals) {
	case Surge:
		peak *= surgeFactor
	case Flood:
		peak *= float64(len(tenants)-1+floodFactor) / float64(len(tenants))
	case Steady:
	}
	for {
		now += time.Duration(r.ExpFloat64() / peak * float64(time.Second))
		if now > opts.Duration {
			return list
		}
		t := pick(r, opts, tenants)
		middle := now > opts.Duration/3 && now < 2*opts.Duration/3
		thin := r.Float64()
		if Arrivals(opts.Arrivals) == Surge && !middle && thin > 1.0/surgeFactor {
			continue
		}
		list = append(list, arrival{at: now, tenant: t, agent: t.shape(r)})
	}
}

// pick draws a workspace; the first one is drawn more often in a flood.
func pick(r *rand.Rand, opts *LoadOptions, tenants []*tenant) *tenant {
	if Arrivals(opts.Arrivals) != Flood {
		return tenants[r.IntN(len(tenants))]
	}

	return tenants[max(0, r.IntN(len(tenants)-1+floodFactor)-floodFactor+1)]
}

// generate runs the programs at their times, whatever became of the earlier ones.
func generate(ctx context.Context, opts *LoadOptions, tenants []*tenant) *Report {
	rec := newRecorder(opts.Factory.Now)
	list := arrivals(opts, tenants)
	started := opts.Factory.Now()
	stop := progress(opts, rec, len(list))
	var group sync.WaitGroup
	for _, a := range list {
		sleep(ctx, a.at-opts.Factory.Now().Sub(started))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { rec.program(ctx, opts, a) })
	}
	group.Wait()
	stop()

	return rec.report(opts, opts.Factory.Now().Sub(started))
}

// progress tells on the error stream how far the run is, until the returned function is called.
func progress(opts *LoadOptions, rec *recorder, total int) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(progressEvery)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				fmt.Fprintln(opts.Factory.IOStreams.Err, rec.progress(total))
			}
		}
	})

	return func() {
		close(done)
		group.Wait()
	}
}
