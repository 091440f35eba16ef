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

	// errStep marks a step that ended otherwise than it should.
	errStep = errs.NewType("step")
	// errTooSlow marks a step for which a workspace's rate leaves no time.
	errTooSlow = errs.NewType("too-slow")
)

// teller runs programs as a client would and tells of each step.
type teller struct {
	out   io.Writer
	fleet *fleet.Fleet
	err   error
	// patience is until when refused steps may wait.
	patience time.Time
}

func (t *teller) say(format string, args ...any) {
	if _, err := fmt.Fprintf(t.out, format+"\n", args...); err != nil {
		t.err = err
	}
}

const (
	// demoWorkspaces is how many workspaces take part.
	demoWorkspaces = 2
	// workspacePatience is how long the steps of one workspace may wait after refusals.
	workspacePatience = 4 * time.Second
)

func (t *teller) tell(ctx context.Context) error {
	t.say("cardamomward demo: %d hosts, %d engines, %d plain services on loopback",
		len(t.fleet.Hosts), len(t.fleet.Engines), len(t.fleet.Services))
	for _, host := range t.fleet.Hosts {
		entry := host.HostEntry()
		t.say("  %s in %s: callers at %s, operators at %s", entry.Host, entry.FailureDomain, entry.CallerAddress, entry.OperatorAddress)
	}
	casts := castsOf(t.fleet.Settings)
	if len(casts) == 0 {
		return errStep.New("no workspace may use a service with upstreams; give one a list of services")
	}
	for i := range casts {
		if err := t.workspace(ctx, &casts[i]); err != nil {
			return fmt.Errorf("workspace %s: %w", casts[i].workspace.ID, err)
		}
	}
	t.say("\nevery step ended as it should")

	return nil
}

// retry runs a step until it is not refused for the moment, and waits as the refusals say.
func (t *teller) retry(ctx context.Context, step func() error) error {
	for {
		err := step()
		var refused *apierror.Error
		if !errors.As(err, &refused) || !momentary(refused) {
			return err
		}
		if time.Until(t.patience) < refused.RetryAfter || ctx.Err() != nil {
			return errTooSlow.Wrap(err, "no time to wait %s", refused.RetryAfter)
		}
		t.say("  refused: %s, %s; waiting %s as it says", refused.Kind, refused.Execution, refused.RetryAfter.Round(time.Millisecond))
		wait(ctx, refused.RetryAfter)
	}
}

// momentary reports whether a request did not run and may be sent again later.
func momentary(refused *apierror.Error) bool {
	if refused.Execution != apierror.NotExecuted || refused.RetryAfter <= 0 {
		return false
	}
	switch refused.Kind {
	case apierror.RateLimited, apierror.Overloaded, apierror.OwnerChanged, apierror.LogUnavailable, apierror.HostLeaving, apierror.NoUpstream:
		return true
	default:
		return false
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// expect runs a step and checks that it is refused as it should be.
func (t *teller) expect(ctx context.Context, what string, kind apierror.Kind, step func() error) error {
	err := t.retry(ctx, step)
	if errorx.IsOfType(err, errTooSlow) {
		return err
	}
	var refused *apierror.Error
	if !errors.As(err, &refused) || refused.Kind != kind || refused.Execution != apierror.NotExecuted {
		return errStep.New("%s: want a refusal %s that did not run, got %v", what, kind, err)
	}
	t.say("  refused on purpose: %s: %s, %s: %s", what, refused.Kind, refused.Execution, refused.Message)

	return nil
}
