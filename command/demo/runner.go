package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/apierror"
	"cardamomward/standin/fleet"
)

var (
	errs = errorx.NewNamespace("demo")

	// errUnexpectedOutcome is returned for a step with another outcome than expected.
	errUnexpectedOutcome = errs.NewType("step")
	// errRetryTimeout is returned for a step whose retry delay exceeds the time left for its workspace.
	errRetryTimeout = errs.NewType("too-slow")
)

// demoRunner runs programs as a client does and prints each step.
type demoRunner struct {
	out      io.Writer
	fleet    *fleet.Fleet
	writeErr error
	// retryDeadline is the end of the retries of refused steps.
	retryDeadline time.Time
}

func (r *demoRunner) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(r.out, format+"\n", args...); err != nil {
		r.writeErr = err
	}
}

const (
	// maxDemoWorkspaces bounds the workspaces that the demo uses.
	maxDemoWorkspaces = 2
	// workspaceRetryTimeout bounds the time in which refused steps of one workspace are retried.
	workspaceRetryTimeout = 4 * time.Second
)

func (r *demoRunner) run(ctx context.Context) error {
	r.printf("cardamomward demo: %d hosts, %d engines, %d plain services on loopback",
		len(r.fleet.Hosts), len(r.fleet.Engines), len(r.fleet.Services))
	for _, host := range r.fleet.Hosts {
		entry := host.HostEntry()
		r.printf("  %s in %s: callers at %s, operators at %s", entry.Host, entry.FailureDomain, entry.CallerAddress, entry.OperatorAddress)
	}
	workspaces := selectWorkspaces(r.fleet.Settings)
	if len(workspaces) == 0 {
		return errUnexpectedOutcome.New("no workspace may use a service with upstreams; give one a list of services")
	}
	for i := range workspaces {
		if err := r.runWorkspace(ctx, &workspaces[i]); err != nil {
			return fmt.Errorf("workspace %s: %w", workspaces[i].settings.ID, err)
		}
	}
	r.printf("\nevery step ended as it should")

	return nil
}

// retryRefused runs a step and retries it after retryable refusals, with the delay that they state.
func (r *demoRunner) retryRefused(ctx context.Context, step func() error) error {
	for {
		err := step()
		var apiErr *apierror.Error
		if !errors.As(err, &apiErr) || !isRetryable(apiErr) {
			return err
		}
		if time.Until(r.retryDeadline) < apiErr.RetryAfter || ctx.Err() != nil {
			return errRetryTimeout.Wrap(err, "the step would have to wait another %s", apiErr.RetryAfter)
		}
		r.printf("  refused: %s, %s; waiting %s as it says", apiErr.Kind, apiErr.Execution, apiErr.RetryAfter.Round(time.Millisecond))
		sleepContext(ctx, apiErr.RetryAfter)
	}
}

// isRetryable reports whether a refused request was not executed and may be sent again later.
func isRetryable(apiErr *apierror.Error) bool {
	if apiErr.Execution != apierror.NotExecuted || apiErr.RetryAfter <= 0 {
		return false
	}
	switch apiErr.Kind {
	case apierror.RateLimited, apierror.Overloaded, apierror.OwnerChanged, apierror.LogUnavailable, apierror.HostLeaving, apierror.NoUpstream:
		return true
	default:
		return false
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// expectRefusal runs a step and checks that it is refused with the given kind and was not executed.
func (r *demoRunner) expectRefusal(ctx context.Context, description string, kind apierror.Kind, step func() error) error {
	err := r.retryRefused(ctx, step)
	if errorx.IsOfType(err, errRetryTimeout) {
		return err
	}
	var apiErr *apierror.Error
	if !errors.As(err, &apiErr) || apiErr.Kind != kind || apiErr.Execution != apierror.NotExecuted {
		return errUnexpectedOutcome.New("%s: expected an error of kind %s without execution, got %v", description, kind, err)
	}
	r.printf("  refused on purpose: %s: %s, %s: %s", description, apiErr.Kind, apiErr.Execution, apiErr.Message)

	return nil
}
