package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
	"cardamomward/core/refusal"
	"cardamomward/core/settings"
	"cardamomward/io/caller"
	"cardamomward/standin/fleet"
)

// teller runs programs as a client would and tells of each step.
type teller struct {
	out   io.Writer
	fleet *fleet.Fleet
	err   error
}

func (t *teller) say(format string, args ...any) {
	if _, err := fmt.Fprintf(t.out, format+"\n", args...); err != nil {
		t.err = err
	}
}

// demoWorkspaces is how many workspaces take part.
const demoWorkspaces = 2

func (t *teller) tell(ctx context.Context) error {
	t.say("cardamomward demo: %d hosts, %d engines, %d plain services on loopback",
		len(t.fleet.Hosts), len(t.fleet.Engines), len(t.fleet.Services))
	told := 0
	for _, workspace := range t.fleet.Settings.SortedWorkspaces() {
		if workspace.Parent != "" || told == demoWorkspaces {
			continue
		}
		if err := t.workspace(ctx, workspace); err != nil {
			return fmt.Errorf("workspace %s: %w", workspace.ID, err)
		}
		told++
	}
	t.say("\nevery step ended as it should")

	return nil
}

// choose returns the first engine service and the first service without repeats that the workspace may use.
func (t *teller) choose(workspace *settings.Workspace) (model id.Model, once id.Service) {
	for _, name := range workspace.Services {
		svc := t.fleet.Settings.Services[name]
		switch {
		case svc == nil || len(svc.Upstreams) == 0:
		case svc.Kind == settings.KindEngine && model == "":
			model = svc.Model
		case svc.Kind == settings.KindPlain && !svc.Idempotent && once == "":
			once = svc.ID
		}
	}

	return model, once
}

func (t *teller) workspace(ctx context.Context, workspace *settings.Workspace) error {
	model, once := t.choose(workspace)
	t.say("\nworkspace %s: rate %g/s, burst %d, budget %d tokens a program",
		workspace.ID, float64(workspace.Rate), workspace.Burst, workspace.Budget)
	issued, err := t.fleet.Operator(0).IssueKey(ctx, workspace.ID)
	if err != nil {
		return err
	}
	t.say("  operator: issued key %s", issued.Key)
	client := &caller.Client{Address: t.fleet.Hosts[1].Entry().Caller, Bearer: issued.Bearer}
	where, err := client.Where(ctx, "")
	if err != nil {
		return err
	}
	t.say("  caller: asked which host to use: %s for %d ms", where.Host, where.ForMillis)
	client.Address = where.Address
	if err := t.program(ctx, client, string(model), once); err != nil {
		return err
	}
	if err := t.budget(ctx, client, string(model)); err != nil {
		return err
	}

	return t.withdrawal(ctx, client, issued.Key)
}

func (t *teller) program(ctx context.Context, client *caller.Client, model string, once id.Service) error {
	program, err := client.Open(ctx, caller.OpenRequest{Name: "demo"})
	if err != nil {
		return err
	}
	t.say("  caller: opened program %s on %s, budget %d tokens", program.Program, program.Host, program.Budget)
	client.Address = program.Address
	if err := t.turns(ctx, client, program.Program, model, "Draft the rules for stand B12.", "Shorten them to one page."); err != nil {
		return err
	}
	if once != "" {
		if err := t.once(ctx, client, program.Program, once); err != nil {
			return err
		}
	}
	child, err := client.Open(ctx, caller.OpenRequest{Name: "sub-agent", Parent: program.Program})
	if err != nil {
		return err
	}
	t.say("  caller: opened sub-agent %s, which shares the budget", child.Program)
	if err := t.turns(ctx, client, child.Program, model, "Check the rules against chapter 3."); err != nil {
		return err
	}
	if err := t.turns(ctx, client, program.Program, model, "Add what the sub-agent found."); err != nil {
		return err
	}
	ended, err := client.End(ctx, program.Program)
	if err != nil {
		return err
	}
	t.say("  caller: ended the program after %d turns, %d of %d tokens used", ended.Turns, ended.Used, ended.Budget)

	return nil
}

func (t *teller) turns(ctx context.Context, client *caller.Client, program id.Program, model string, texts ...string) error {
	for _, text := range texts {
		answer, err := client.Ask(ctx, program, model, text)
		if err != nil {
			return err
		}
		t.say("  turn %d on %s at %s: %d of %d prompt tokens cached, budget left %d: %.48s…",
			answer.Turn, answer.Host, answer.Upstream, answer.Usage.Details.CachedTokens, answer.Usage.PromptTokens,
			answer.BudgetLeft, answer.Text)
	}

	return nil
}

// booking is the body of the demo's service call.
type booking struct {
	Stand string `json:"stand"`
}

func (t *teller) once(ctx context.Context, client *caller.Client, program id.Program, once id.Service) error {
	first, err := client.Call(ctx, program, once, "confirm", "demo-1", booking{Stand: "B12"})
	if err != nil {
		return err
	}
	t.say("  tool pause: called %s at %s: %.40s", once, first.Upstream, first.Body)
	second, err := client.Call(ctx, program, once, "confirm", "demo-1", booking{Stand: "B12"})
	if err != nil {
		return err
	}
	if !second.Replayed || string(second.Body) != string(first.Body) {
		return errors.New("the repeated call was not answered from the record of the first")
	}
	t.say("  refused on purpose: the same call again was not sent; the first answer was repeated")
	_, err = client.Call(ctx, program, once, "confirm", "demo-1", booking{Stand: "C7"})

	return t.refused(err, "another call under the same idempotency key", refusal.KeyReused)
}

func (t *teller) budget(ctx context.Context, client *caller.Client, model string) error {
	const small = 200
	program, err := client.Open(ctx, caller.OpenRequest{Name: "small", Budget: small})
	if err != nil {
		return err
	}
	long := prompt.Message{Role: "user", Content: string(slices.Repeat([]byte("rule "), small))}
	_, err = client.Turn(ctx, program.Program, 0, caller.ChatRequest{Model: model, Messages: []prompt.Message{long}})

	return t.refused(err, "a turn beyond the program's budget", refusal.BudgetExhausted)
}

func (t *teller) withdrawal(ctx context.Context, client *caller.Client, key id.Key) error {
	if _, err := t.fleet.Operator(0).WithdrawKey(ctx, key); err != nil {
		return err
	}
	t.say("  operator: withdrew key %s", key)
	for ctx.Err() == nil {
		_, err := client.Open(ctx, caller.OpenRequest{})
		var refused *refusal.Error
		if errors.As(err, &refused) && refused.Kind == refusal.Unauthenticated {
			return t.refused(err, "a call with the withdrawn key", refusal.Unauthenticated)
		}
	}

	return ctx.Err()
}

// refused checks that a step was refused as it should be.
func (t *teller) refused(err error, what string, kind refusal.Kind) error {
	var refused *refusal.Error
	if !errors.As(err, &refused) || refused.Kind != kind || refused.Ran != refusal.NotRun {
		return fmt.Errorf("%s: want a refusal %s, got %w", what, kind, err)
	}
	t.say("  refused on purpose: %s: %s, %s: %s", what, refused.Kind, refused.Ran, refused.Message)

	return nil
}
