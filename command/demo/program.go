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
	"cardamomward/io/callerapi"
)

const (
	// turnTokens bounds the answer of a turn.
	turnTokens id.Tokens = 24
	// programTokens is what the demo's program needs at most; a smaller budget may end it early.
	programTokens id.Tokens = 2000
	// smallBudget is the budget that the demo exhausts on purpose.
	smallBudget id.Tokens = 200
	// pollPause is how often the demo looks whether a host knows of a change of keys.
	pollPause = 20 * time.Millisecond
)

// actor is a caller of one workspace.
type actor struct {
	*teller
	*cast
	client *callerapi.Client
}

// workspace shows a program, the budget and a withdrawn key of one workspace.
func (t *teller) workspace(ctx context.Context, c *cast) error {
	w := c.workspace
	t.say("\nworkspace %s: rate %.3g/s, burst %d, budget %d tokens a program, %s",
		w.ID, float64(w.Rate), w.Burst, w.Budget, w.Priority)
	issued, err := t.fleet.OperatorClient(0).IssueKey(ctx, w.ID)
	if err != nil {
		return err
	}
	t.say("  operator: issued key %s", issued.Key)
	a := &actor{teller: t, cast: c, client: &callerapi.Client{APIKey: issued.Bearer}}
	if err := a.within(ctx); err != nil {
		return err
	}

	return a.withdrawal(ctx, issued.Key)
}

// within runs the steps that a low rate may cut short.
func (a *actor) within(ctx context.Context) error {
	a.patience = time.Now().Add(workspacePatience)
	for _, step := range []func(context.Context) error{a.known, a.where, a.program, a.budget} {
		err := step(ctx)
		if errorx.IsOfType(err, errTooSlow) {
			a.say("  left out: the workspace's rate of %.3g/s leaves no time for the rest", float64(a.cast.workspace.Rate))

			return nil
		}
		if err != nil {
			return err
		}
	}

	return nil
}

// known waits until all hosts know the new key.
func (a *actor) known(ctx context.Context) error {
	for _, host := range a.fleet.Hosts {
		a.client.Address = host.Entry().Caller
		for a.unauthenticated(ctx) {
			if ctx.Err() != nil {
				return errStep.New("host %s does not know the new key: %v", host.Entry().Host, ctx.Err())
			}
			wait(ctx, pollPause)
		}
	}

	return nil
}

// unauthenticated reports whether the client's host refuses its key.
func (a *actor) unauthenticated(ctx context.Context) bool {
	_, err := a.client.ProgramHistory(ctx, "none")
	var refused *apierror.Error

	return errors.As(err, &refused) && refused.Kind == apierror.Unauthenticated
}

func (a *actor) where(ctx context.Context) error {
	a.client.Address = a.fleet.Hosts[1].Entry().Caller
	return a.retry(ctx, func() error {
		where, err := a.client.FindHost(ctx, "")
		if err != nil {
			return err
		}
		a.client.Address = where.Address
		a.say("  caller: asked which host to use: %s for %d ms", where.Host, where.ValidForMillis)

		return nil
	})
}

func (a *actor) open(ctx context.Context, req callerapi.OpenProgramRequest) (program callerapi.Program, err error) {
	err = a.retry(ctx, func() error {
		program, err = a.client.OpenProgram(ctx, req)

		return err
	})

	return program, err
}

// program runs dependent turns with a tool pause and a sub-agent between them.
func (a *actor) program(ctx context.Context) error {
	program, err := a.open(ctx, callerapi.OpenProgramRequest{Name: "demo"})
	if err != nil {
		return err
	}
	a.say("  caller: opened program %s on %s, budget %d tokens", program.ID, program.Host, program.BudgetTokens)
	if program.Address != "" {
		a.client.Address = program.Address
	}
	err = a.steps(ctx, program.ID)
	if a.spent(err) {
		a.say("  refused: the program's budget of %d tokens is used up", a.cast.workspace.Budget)
		err = nil
	}
	if err != nil {
		return err
	}

	return a.retry(ctx, func() error {
		ended, err := a.client.EndProgram(ctx, program.ID)
		if err == nil {
			a.say("  caller: ended the program after %d turns, %d of %d tokens used", ended.TurnCount, ended.UsedTokens, ended.BudgetTokens)
		}

		return err
	})
}

// spent reports whether a small budget has come to its end, as it should.
func (a *actor) spent(err error) bool {
	var refused *apierror.Error

	return errors.As(err, &refused) && refused.Kind == apierror.BudgetExhausted && refused.Execution == apierror.NotExecuted &&
		a.cast.workspace.Budget < programTokens
}

func (a *actor) steps(ctx context.Context, program id.Program) error {
	if err := a.turns(ctx, program, 0, "Draft the rules for stand B12.", "Shorten them to one page."); err != nil {
		return err
	}
	if err := a.tools(ctx, program); err != nil {
		return err
	}
	if len(a.engines) == 0 {
		return nil
	}
	child, err := a.open(ctx, callerapi.OpenProgramRequest{Name: "sub-agent", Parent: program})
	if err != nil {
		return err
	}
	a.say("  caller: opened sub-agent %s, which shares the budget", child.ID)
	if err := a.turns(ctx, child.ID, len(a.engines)-1, "Check the rules against chapter 3."); err != nil {
		return err
	}

	return a.turns(ctx, program, 0, "Add what the sub-agent found.")
}

// turns runs a turn for each text at one of the workspace's engine services.
func (a *actor) turns(ctx context.Context, program id.Program, engine int, texts ...string) error {
	if len(a.engines) == 0 {
		return nil
	}
	svc := a.engines[engine]
	for _, text := range texts {
		chat := callerapi.ChatRequest{
			Model: string(svc.Model), Messages: []callerapi.ChatMessage{{Role: "user", Content: callerapi.Text(text)}}, MaxTokens: min(turnTokens, svc.MaxTokens),
		}
		err := a.retry(ctx, func() error {
			answer, err := a.client.RunTurn(ctx, program, 0, chat)
			if err == nil {
				a.say("  turn %d on %s at %s (%s): %d of %d prompt tokens cached, budget left %d: %.40s...",
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

// booking is the body of the demo's service calls.
type booking struct {
	Stand string `json:"stand"`
}

// tools calls the workspace's plain services between two turns.
func (a *actor) tools(ctx context.Context, program id.Program) error {
	if a.repeatable != nil {
		if _, err := a.call(ctx, program, a.repeatable, "demo-0", "B12"); err != nil {
			return err
		}
	}
	if a.once == nil {
		return nil
	}
	first, err := a.call(ctx, program, a.once, "demo-1", "B12")
	if err != nil {
		return err
	}
	second, err := a.call(ctx, program, a.once, "demo-1", "B12")
	if err != nil {
		return err
	}
	if !second.Replayed || string(second.Body) != string(first.Body) {
		return errStep.New("the repeated call was not answered from the record of the first")
	}
	a.say("  refused on purpose: the same call again was not sent; the first answer was repeated")

	return a.expect(ctx, "another call under the same idempotency key", apierror.IdempotencyKeyReused, func() error {
		_, err := a.client.CallService(ctx, program, a.once.ID, "confirm", "demo-1", booking{Stand: "C7"})

		return err
	})
}

func (a *actor) call(
	ctx context.Context, program id.Program, svc *settings.Service, key, stand string,
) (answer callerapi.Response, err error) {
	err = a.retry(ctx, func() error {
		answer, err = a.client.CallService(ctx, program, svc.ID, "confirm", key, booking{Stand: stand})

		return err
	})
	if err == nil && !answer.Replayed {
		a.say("  tool pause: called %s at %s: %.60s", svc.ID, answer.Upstream, strings.TrimSpace(string(answer.Body)))
	}

	return answer, err
}

// budget exhausts a small budget on purpose.
func (a *actor) budget(ctx context.Context) error {
	if len(a.engines) == 0 {
		return nil
	}
	tokens := min(smallBudget, a.cast.workspace.Budget)
	program, err := a.open(ctx, callerapi.OpenProgramRequest{Name: "small", BudgetTokens: tokens})
	if err != nil {
		return err
	}
	const bytesAToken = 8
	long := callerapi.ChatMessage{Role: "user", Content: callerapi.Text(strings.Repeat("r", int(tokens)*bytesAToken))}

	return a.expect(ctx, "a turn beyond the program's budget", apierror.BudgetExhausted, func() error {
		_, err := a.client.RunTurn(ctx, program.ID, 0, callerapi.ChatRequest{
			Model: string(a.engines[0].Model), Messages: []callerapi.ChatMessage{long},
		})

		return err
	})
}

// withdrawal withdraws the key and waits until the caller's host refuses it.
func (a *actor) withdrawal(ctx context.Context, key id.APIKey) error {
	if _, err := a.fleet.OperatorClient(0).WithdrawKey(ctx, key); err != nil {
		return err
	}
	a.say("  operator: withdrew key %s", key)
	for !a.unauthenticated(ctx) {
		if ctx.Err() != nil {
			return errStep.New("the withdrawn key still works: %v", ctx.Err())
		}
		wait(ctx, pollPause)
	}

	return a.expect(ctx, "a call with the withdrawn key", apierror.Unauthenticated, func() error {
		_, err := a.client.OpenProgram(ctx, callerapi.OpenProgramRequest{})

		return err
	})
}
