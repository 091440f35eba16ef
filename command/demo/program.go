package demo

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/settings"
	"cardamomward/io/caller"
)

const (
	// maxTurnTokens bounds the output of a turn.
	maxTurnTokens id.Tokens = 24
	// maxProgramTokens is the maximum usage of the demo's program; a smaller budget may be exhausted before its end.
	maxProgramTokens id.Tokens = 2000
	// smallBudgetTokens is the budget that the demo exhausts on purpose.
	smallBudgetTokens id.Tokens = 200
	// pollInterval is the interval of checks whether a host has applied a change of API keys.
	pollInterval = 20 * time.Millisecond
)

// workspaceRunner runs the demo's steps as a caller of one workspace.
type workspaceRunner struct {
	*demoRunner
	*demoWorkspace
	client *caller.Client
}

// runWorkspace shows a program, an exhausted budget and a withdrawn API key of one workspace.
func (r *demoRunner) runWorkspace(ctx context.Context, c *demoWorkspace) error {
	w := c.settings
	r.printf("\nworkspace %s: rate %.3g/s, burst %d, budget %d tokens a program, %s",
		w.ID, float64(w.Rate), w.Burst, w.Budget, w.Priority)
	issued, err := r.fleet.OperatorClient(0).IssueKey(ctx, w.ID)
	if err != nil {
		return err
	}
	r.printf("  operator: issued key %s", issued.Key)
	a := &workspaceRunner{demoRunner: r, demoWorkspace: c, client: &caller.Client{APIKey: issued.BearerToken}}
	if err := a.runSteps(ctx); err != nil {
		return err
	}

	return a.withdrawKey(ctx, issued.Key)
}

// runSteps runs the steps that are subject to the workspace's rate, and skips the rest if the rate is too low.
func (a *workspaceRunner) runSteps(ctx context.Context) error {
	a.retryDeadline = time.Now().Add(workspaceRetryTimeout)
	for _, step := range []func(context.Context) error{a.awaitKeyKnown, a.locateHost, a.runProgram, a.exhaustBudget} {
		err := step(ctx)
		if errorx.IsOfType(err, errRetryTimeout) {
			a.printf("  left out: the workspace's rate of %.3g/s leaves no time for the rest", float64(a.settings.Rate))

			return nil
		}
		if err != nil {
			return err
		}
	}

	return nil
}

// awaitKeyKnown waits until all hosts accept the new API key.
func (a *workspaceRunner) awaitKeyKnown(ctx context.Context) error {
	for _, host := range a.fleet.Hosts {
		a.client.Address = host.HostEntry().CallerAddress
		for a.isKeyRefused(ctx) {
			if ctx.Err() != nil {
				return errUnexpectedOutcome.New("host %s still refuses the new key: %v", host.HostEntry().Host, ctx.Err())
			}
			sleepContext(ctx, pollInterval)
		}
	}

	return nil
}

// isKeyRefused reports whether the client's host refuses the client's API key.
func (a *workspaceRunner) isKeyRefused(ctx context.Context) bool {
	_, err := a.client.ProgramHistory(ctx, "none")
	var apiErr *apierror.Error

	return errors.As(err, &apiErr) && apiErr.Kind == apierror.Unauthenticated
}

func (a *workspaceRunner) locateHost(ctx context.Context) error {
	a.client.Address = a.fleet.Hosts[1].HostEntry().CallerAddress
	return a.retryRefused(ctx, func() error {
		where, err := a.client.FindHost(ctx, "")
		if err != nil {
			return err
		}
		a.client.Address = where.Address
		a.printf("  caller: asked which host to use: %s for %d ms", where.Host, where.ValidForMillis)

		return nil
	})
}

func (a *workspaceRunner) openProgram(ctx context.Context, req caller.OpenRequest) (program caller.Program, err error) {
	err = a.retryRefused(ctx, func() error {
		program, err = a.client.OpenProgram(ctx, req)

		return err
	})

	return program, err
}

// runProgram runs a program of dependent turns with tool calls and a sub-agent between them.
func (a *workspaceRunner) runProgram(ctx context.Context) error {
	program, err := a.openProgram(ctx, caller.OpenRequest{Name: "demo"})
	if err != nil {
		return err
	}
	a.printf("  caller: opened program %s on %s, budget %d tokens", program.ID, program.Host, program.BudgetTokens)
	if program.Address != "" {
		a.client.Address = program.Address
	}
	err = a.runTurnsAndTools(ctx, program.ID)
	if a.isExpectedBudgetExhaustion(err) {
		a.printf("  refused: the program's budget of %d tokens is used up", a.settings.Budget)
		err = nil
	}
	if err != nil {
		return err
	}

	return a.retryRefused(ctx, func() error {
		ended, err := a.client.EndProgram(ctx, program.ID)
		if err == nil {
			a.printf("  caller: ended the program after %d turns, %d of %d tokens used", ended.TurnCount, ended.UsedTokens, ended.BudgetTokens)
		}

		return err
	})
}

// isExpectedBudgetExhaustion reports whether err says that a budget below maxProgramTokens is exhausted.
func (a *workspaceRunner) isExpectedBudgetExhaustion(err error) bool {
	var apiErr *apierror.Error

	return errors.As(err, &apiErr) && apiErr.Kind == apierror.BudgetExhausted && apiErr.Execution == apierror.NotExecuted &&
		a.settings.Budget < maxProgramTokens
}

func (a *workspaceRunner) runTurnsAndTools(ctx context.Context, program id.Program) error {
	if err := a.runTurns(ctx, program, 0, "Draft the rules for stand B12.", "Shorten them to one page."); err != nil {
		return err
	}
	if err := a.callTools(ctx, program); err != nil {
		return err
	}
	if len(a.engines) == 0 {
		return nil
	}
	child, err := a.openProgram(ctx, caller.OpenRequest{Name: "sub-agent", Parent: program})
	if err != nil {
		return err
	}
	a.printf("  caller: opened sub-agent %s, which shares the budget", child.ID)
	if err := a.runTurns(ctx, child.ID, len(a.engines)-1, "Check the rules against chapter 3."); err != nil {
		return err
	}

	return a.runTurns(ctx, program, 0, "Add what the sub-agent found.")
}

// runTurns runs a turn for each text on one of the workspace's engine services.
func (a *workspaceRunner) runTurns(ctx context.Context, program id.Program, engine int, texts ...string) error {
	if len(a.engines) == 0 {
		return nil
	}
	svc := a.engines[engine]
	for _, text := range texts {
		chat := caller.ChatRequest{
			Model: string(svc.Model), Messages: []caller.ChatMessage{{Role: "user", Content: caller.Text(text)}}, MaxTokens: min(maxTurnTokens, svc.MaxTokens),
		}
		err := a.retryRefused(ctx, func() error {
			answer, err := a.client.RunTurn(ctx, program, 0, chat)
			if err == nil {
				a.printf("  turn %d on %s at %s (%s): %d of %d prompt tokens cached, budget left %d: %.40s...",
					answer.Turn, answer.Host, answer.Upstream, svc.Model, answer.Usage.Details.CachedTokens,
					answer.Usage.PromptTokens, answer.BudgetLeft, answer.Text)
			}

			return err
		})
		if err != nil {
			return err
		}
	}

	return nil
}

// booking is the request body of the demo's service calls.
type booking struct {
	Stand string `json:"stand"`
}

// callTools calls the workspace's plain services, and repeats a call to show that it is executed once.
func (a *workspaceRunner) callTools(ctx context.Context, program id.Program) error {
	if a.idempotent != nil {
		if _, err := a.callService(ctx, program, a.idempotent, "demo-0", "B12"); err != nil {
			return err
		}
	}
	if a.nonIdempotent == nil {
		return nil
	}
	first, err := a.callService(ctx, program, a.nonIdempotent, "demo-1", "B12")
	if err != nil {
		return err
	}
	second, err := a.callService(ctx, program, a.nonIdempotent, "demo-1", "B12")
	if err != nil {
		return err
	}
	if !second.Replayed || string(second.Body) != string(first.Body) {
		return errUnexpectedOutcome.New("the repeated call did not return the recorded response of the first call")
	}
	a.printf("  refused on purpose: the same call again was not sent; the first answer was repeated")

	return a.expectRefusal(ctx, "another call under the same idempotency key", apierror.IdempotencyKeyReused, func() error {
		_, err := a.client.CallService(ctx, program, a.nonIdempotent.ID, "confirm", "demo-1", booking{Stand: "C7"})

		return err
	})
}

func (a *workspaceRunner) callService(
	ctx context.Context, program id.Program, svc *settings.Service, key, stand string,
) (answer caller.Response, err error) {
	err = a.retryRefused(ctx, func() error {
		answer, err = a.client.CallService(ctx, program, svc.ID, "confirm", key, booking{Stand: stand})

		return err
	})
	if err == nil && !answer.Replayed {
		a.printf("  tool pause: called %s at %s: %.60s", svc.ID, answer.Upstream, strings.TrimSpace(string(answer.Body)))
	}

	return answer, err
}

// exhaustBudget shows the refusal of a turn beyond a small budget.
func (a *workspaceRunner) exhaustBudget(ctx context.Context) error {
	if len(a.engines) == 0 {
		return nil
	}
	tokens := min(smallBudgetTokens, a.settings.Budget)
	program, err := a.openProgram(ctx, caller.OpenRequest{Name: "small", BudgetTokens: tokens})
	if err != nil {
		return err
	}
	const bytesPerToken = 8
	long := caller.ChatMessage{Role: "user", Content: caller.Text(strings.Repeat("r", int(tokens)*bytesPerToken))}

	return a.expectRefusal(ctx, "a turn beyond the program's budget", apierror.BudgetExhausted, func() error {
		_, err := a.client.RunTurn(ctx, program.ID, 0, caller.ChatRequest{
			Model: string(a.engines[0].Model), Messages: []caller.ChatMessage{long},
		})

		return err
	})
}

// withdrawKey withdraws the API key and waits until the caller's host refuses it.
func (a *workspaceRunner) withdrawKey(ctx context.Context, key id.APIKey) error {
	if _, err := a.fleet.OperatorClient(0).WithdrawKey(ctx, key); err != nil {
		return err
	}
	a.printf("  operator: withdrew key %s", key)
	for !a.isKeyRefused(ctx) {
		if ctx.Err() != nil {
			return errUnexpectedOutcome.New("the withdrawn key is still accepted: %v", ctx.Err())
		}
		sleepContext(ctx, pollInterval)
	}

	return a.expectRefusal(ctx, "a call with the withdrawn key", apierror.Unauthenticated, func() error {
		_, err := a.client.OpenProgram(ctx, caller.OpenRequest{})

		return err
	})
}
