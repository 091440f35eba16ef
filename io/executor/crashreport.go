package executor

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/poison"
	"cardamomward/core/record/recordpb"
	"cardamomward/io/engineclient"
)

const (
	// crashCheckTimeout bounds the check whether an engine process has exited.
	crashCheckTimeout = 2 * time.Second
	// crashCheckInterval is the pause between two load requests of the check.
	crashCheckInterval = 100 * time.Millisecond
)

// quarantinedError refuses a poison request; its execution state is unknown, since an upstream may have run part of it.
func quarantinedError() error {
	return apierror.New(apierror.Quarantined, "this request has crashed the upstreams that ran it and will not be run again").
		WithExecution(apierror.ExecutionUnknown)
}

// poisonStatus returns the status of a request according to the crash reports in the log or those of this host that may not
// be in the log, whichever is worse.
func (e *Executor) poisonStatus(fingerprint id.Fingerprint) poison.Status {
	loggedStatus := e.Control.PoisonStatus(fingerprint)
	e.mu.Lock()
	defer e.mu.Unlock()

	return max(loggedStatus, e.unreportedCrashes.Status(fingerprint))
}

// reportCrash records a crash against the request if the engine process that received it has exited.
func (e *Executor) reportCrash(ctx context.Context, t *turn, acquired *acquiredUpstream, result *turnResult, cause error) {
	if errorx.IsOfType(cause, engineclient.ErrNotStarted) || result.engineRun == "" || !e.isProcessGone(ctx, acquired.upstream, result.engineRun) {
		return
	}
	crash := poison.CrashReport{
		Request: t.fingerprint,
		Process: string(acquired.upstream.ID()) + "/" + result.engineRun,
		Alone:   acquired.poisonStatus == poison.Suspect,
	}
	e.mu.Lock()
	e.unreportedCrashes.RecordCrash(crash)
	e.mu.Unlock()
	e.Logger.Info("upstream-crashed", "upstream", acquired.upstream.ID(), "run", result.engineRun, "program", t.program.ID, "alone", crash.Alone)
	err := e.Control.ReportCrash(context.WithoutCancel(ctx), &recordpb.Crash{
		Fingerprint: uint64(t.fingerprint), Upstream: string(acquired.upstream.ID()), Run: result.engineRun, Alone: crash.Alone,
	})
	if err != nil {
		e.Logger.Error(err, "crash-report-failed", "upstream", acquired.upstream.ID())
	}
}

// isProcessGone reports whether an engine process has exited: another process answers at its address, or the connection
// is refused. An unreachable upstream does not count as crashed.
func (e *Executor) isProcessGone(ctx context.Context, u *engineclient.Upstream, engineRun string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	for {
		load, err := u.FetchLoad(ctx)
		switch {
		case err == nil:
			return load.EngineRun != engineRun
		case engineclient.IsConnectionRefused(err):
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(crashCheckInterval):
		}
	}
}

// clearCrashes removes the crash reports against a request that has completed.
func (e *Executor) clearCrashes(ctx context.Context, t *turn, status poison.Status) {
	if status == poison.Clean {
		return
	}
	e.mu.Lock()
	e.unreportedCrashes.Clear(t.fingerprint)
	e.mu.Unlock()
	err := e.Control.ReportCrash(context.WithoutCancel(ctx), &recordpb.Crash{Fingerprint: uint64(t.fingerprint), Cleared: true})
	if err != nil {
		e.Logger.Error(err, "crash-report-failed", "program", t.program.ID)
	}
}
