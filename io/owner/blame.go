package owner

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/poison"
	"cardamomward/core/record/recordpb"
	"cardamomward/io/engine"
)

const (
	// blameTimeout bounds the search for what became of an upstream's process.
	blameTimeout = 2 * time.Second
	// blamePause is the pause between two looks.
	blamePause = 100 * time.Millisecond
)

// quarantined refuses a request that has crashed the upstreams that ran it; whether a part of it ran is not known.
func quarantined() error {
	return apierror.New(apierror.Quarantined, "this request has crashed the upstreams that ran it and will not be run again").
		WithExecution(apierror.ExecutionUnknown)
}

// standing returns how far a request is under suspicion, by the log or by what this host could not report yet.
func (o *Owner) standing(request id.Fingerprint) poison.Status {
	logged := o.Control.PoisonStatus(request)
	o.mu.Lock()
	defer o.mu.Unlock()

	return max(logged, o.unreported.Status(request))
}

// blame counts a crash against the request if the process that took it is gone.
func (o *Owner) blame(ctx context.Context, t *turn, p *placed, got *answer, cause error) {
	if errorx.IsOfType(cause, engine.ErrNotStarted) || got.run == "" || !o.gone(ctx, p.upstream, got.run) {
		return
	}
	crash := poison.CrashReport{
		Request: t.request,
		Process: string(p.upstream.ID()) + "/" + got.run,
		Alone:   p.standing == poison.Suspect,
	}
	o.mu.Lock()
	o.unreported.RecordCrash(crash)
	o.mu.Unlock()
	o.Logger.Info("upstream-crashed", "upstream", p.upstream.ID(), "run", got.run, "program", t.state.ID, "alone", crash.Alone)
	err := o.Control.ReportCrash(context.WithoutCancel(ctx), &recordpb.Crash{
		Fingerprint: uint64(t.request), Upstream: string(p.upstream.ID()), Run: got.run, Alone: crash.Alone,
	})
	if err != nil {
		o.Logger.Error(err, "crash-report-failed", "upstream", p.upstream.ID())
	}
}

// gone reports whether a process has ended: another one answers in its place, or nothing listens there any more.
// An upstream that is only out of reach has not crashed as far as this host knows.
func (o *Owner) gone(ctx context.Context, u *engine.Upstream, run string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), blameTimeout)
	defer cancel()
	for {
		load, err := u.Load(ctx)
		switch {
		case err == nil:
			return load.Run != run
		case engine.Refused(err):
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(blamePause):
		}
	}
}

// completed drops what stands against a request that has run to its end.
func (o *Owner) completed(ctx context.Context, t *turn, standing poison.Status) {
	if standing == poison.Clean {
		return
	}
	o.mu.Lock()
	o.unreported.Clear(t.request)
	o.mu.Unlock()
	err := o.Control.ReportCrash(context.WithoutCancel(ctx), &recordpb.Crash{Fingerprint: uint64(t.request), Cleared: true})
	if err != nil {
		o.Logger.Error(err, "crash-report-failed", "program", t.state.ID)
	}
}
