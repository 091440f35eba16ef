package load

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/simulation"
	"cardamomward/io/caller"
)

const (
	// maxTries bounds how often a refused request is sent.
	maxTries = 8
	// tokenText stands for about one token of a prompt.
	tokenText = "rule"
)

// run is one program under way.
type run struct {
	tenant   *tenant
	opts     *LoadOptions
	recorder *recorder
	client   caller.Client

	mu     sync.Mutex
	calls  int
	pauses time.Duration
}

// program runs a program from its opening to its end.
func (r *run) program(ctx context.Context, agent simulation.Agent) error {
	r.client = r.tenant.client
	opened, err := r.open(ctx, "")
	if err != nil {
		return err
	}
	if opened.Address != "" {
		r.client.Address = opened.Address
	}
	if err := r.agent(ctx, opened.ID, agent); err != nil {
		return err
	}

	return r.try(ctx, func() error {
		_, err := r.client.EndProgram(ctx, opened.ID)

		return err
	})
}

func (r *run) open(ctx context.Context, parent id.Program) (caller.Program, error) {
	var opened caller.Program
	err := r.try(ctx, func() error {
		var err error
		opened, err = r.client.OpenProgram(ctx, caller.OpenRequest{Name: "load", Parent: parent})

		return err
	})

	return opened, err
}

func (r *run) agent(ctx context.Context, program id.Program, agent simulation.Agent) error {
	var known id.Tokens
	for i, turn := range agent.Turns {
		answer, err := r.turn(ctx, program, id.Turn(i+1), turn)
		if err != nil {
			return err
		}
		r.recorder.prompt(answer.Usage.PromptTokens, min(known, answer.Usage.PromptTokens), answer.Usage.Details.CachedTokens)
		known = answer.Usage.PromptTokens + answer.Usage.CompletionTokens
		if err := r.agents(ctx, program, turn.SubAgents); err != nil {
			return err
		}
		if i+1 < len(agent.Turns) {
			r.pause(ctx, time.Duration(float64(turn.ToolPause)*r.opts.Pace))
		}
	}

	return nil
}

// agents runs sub-agents in parallel.
func (r *run) agents(ctx context.Context, parent id.Program, agents []simulation.Agent) error {
	failed := make([]error, len(agents))
	var group sync.WaitGroup
	for i, agent := range agents {
		group.Go(func() {
			opened, err := r.open(ctx, parent)
			if err == nil {
				err = r.agent(ctx, opened.ID, agent)
			}
			failed[i] = err
		})
	}
	group.Wait()

	return errors.Join(failed...)
}

func (r *run) pause(ctx context.Context, pause time.Duration) {
	r.mu.Lock()
	r.pauses += pause
	r.mu.Unlock()
	sleep(ctx, pause)
}

func (r *run) turn(ctx context.Context, program id.Program, number id.Turn, turn simulation.Turn) (caller.Response, error) {
	size := func(tokens id.Tokens) int { return max(1, int(float64(tokens)*r.opts.Size)) }
	chat := caller.ChatRequest{
		Model:     string(r.tenant.model),
		MaxTokens: id.Tokens(size(turn.OutputTokens)),
		Messages:  []caller.ChatMessage{{Role: "user", Content: caller.Text(strings.Repeat(tokenText, size(turn.InputTokens)))}},
	}
	r.mu.Lock()
	r.calls++
	r.mu.Unlock()
	var answer caller.Response
	err := r.try(ctx, func() error {
		var err error
		answer, err = r.client.RunTurn(ctx, program, number, chat)

		return err
	})

	return answer, err
}

// try sends a request until it is answered, and comes back after a refusal when it was told to.
func (r *run) try(ctx context.Context, send func() error) error {
	for attempt := 1; ; attempt++ {
		within := r.tenant.entitled.take(r.recorder.now())
		err := send()
		var refused *apierror.Error
		if !errors.As(err, &refused) {
			return err
		}
		if within {
			r.tenant.entitled.giveBack(r.recorder.now())
		}
		if refused.Kind != apierror.BudgetExhausted {
			r.recorder.refused(refused.Kind, within)
		}
		if refused.RetryAfter <= 0 || attempt == maxTries {
			return err
		}
		sleep(ctx, refused.RetryAfter)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// calibrate measures how long a call takes while nothing else runs.
func (t *tenant) calibrate(ctx context.Context, opts *LoadOptions, recorder *recorder) error {
	r := &run{tenant: t, opts: opts, recorder: recorder}
	turn := simulation.Turn{InputTokens: 300, OutputTokens: 150}
	began := opts.Factory.Now()
	agent := simulation.Agent{Turns: []simulation.Turn{turn, turn}}
	if err := r.program(ctx, agent); err != nil {
		return err
	}
	t.alone = opts.Factory.Now().Sub(began) / time.Duration(len(agent.Turns))

	return nil
}
