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
	// maxAttempts bounds how often a refused request is sent.
	maxAttempts = 8
	// oneTokenText is a text that counts as about one token of a prompt.
	oneTokenText = "rule"
)

// programRun is a running program.
type programRun struct {
	workspace *workspaceClient
	opts      *LoadOptions
	recorder  *recorder
	client    caller.Client

	mu         sync.Mutex
	callCount  int
	totalPause time.Duration
}

// runProgram opens a program, runs its agent and ends the program.
func (r *programRun) runProgram(ctx context.Context, agent simulation.Agent) error {
	r.client = r.workspace.client
	opened, err := r.openProgram(ctx, "")
	if err != nil {
		return err
	}
	if opened.Address != "" {
		r.client.Address = opened.Address
	}
	if err := r.runAgent(ctx, opened.ID, agent); err != nil {
		return err
	}

	return r.sendWithRetry(ctx, func() error {
		_, err := r.client.EndProgram(ctx, opened.ID)

		return err
	})
}

func (r *programRun) openProgram(ctx context.Context, parent id.Program) (caller.Program, error) {
	var opened caller.Program
	err := r.sendWithRetry(ctx, func() error {
		var err error
		opened, err = r.client.OpenProgram(ctx, caller.OpenRequest{Name: "load", Parent: parent})

		return err
	})

	return opened, err
}

func (r *programRun) runAgent(ctx context.Context, program id.Program, agent simulation.Agent) error {
	var previousTokens id.Tokens
	for i, turn := range agent.Turns {
		answer, err := r.runTurn(ctx, program, id.Turn(i+1), turn)
		if err != nil {
			return err
		}
		r.recorder.recordPrompt(answer.Usage.PromptTokens, min(previousTokens, answer.Usage.PromptTokens), answer.Usage.Details.CachedTokens)
		previousTokens = answer.Usage.PromptTokens + answer.Usage.CompletionTokens
		if err := r.runSubAgents(ctx, program, turn.SubAgents); err != nil {
			return err
		}
		if i+1 < len(agent.Turns) {
			r.pauseForTool(ctx, time.Duration(float64(turn.ToolPause)*r.opts.PauseFactor))
		}
	}

	return nil
}

// runSubAgents runs sub-agents in parallel and waits for all of them.
func (r *programRun) runSubAgents(ctx context.Context, parent id.Program, agents []simulation.Agent) error {
	errs := make([]error, len(agents))
	var group sync.WaitGroup
	for i, agent := range agents {
		group.Go(func() {
			opened, err := r.openProgram(ctx, parent)
			if err == nil {
				err = r.runAgent(ctx, opened.ID, agent)
			}
			errs[i] = err
		})
	}
	group.Wait()

	return errors.Join(errs...)
}

func (r *programRun) pauseForTool(ctx context.Context, pause time.Duration) {
	r.mu.Lock()
	r.totalPause += pause
	r.mu.Unlock()
	sleepContext(ctx, pause)
}

func (r *programRun) runTurn(ctx context.Context, program id.Program, number id.Turn, turn simulation.Turn) (caller.Response, error) {
	scale := func(tokens id.Tokens) int { return max(1, int(float64(tokens)*r.opts.TokenFactor)) }
	chat := caller.ChatRequest{
		Model:     string(r.workspace.model),
		MaxTokens: id.Tokens(scale(turn.OutputTokens)),
		Messages:  []caller.ChatMessage{{Role: "user", Content: caller.Text(strings.Repeat(oneTokenText, scale(turn.InputTokens)))}},
	}
	r.mu.Lock()
	r.callCount++
	r.mu.Unlock()
	var answer caller.Response
	err := r.sendWithRetry(ctx, func() error {
		var err error
		answer, err = r.client.RunTurn(ctx, program, number, chat)

		return err
	})

	return answer, err
}

// sendWithRetry sends a request and retries it after a refusal, with the delay that the refusal states, for up to
// maxAttempts attempts.
func (r *programRun) sendWithRetry(ctx context.Context, send func() error) error {
	for attempt := 1; ; attempt++ {
		withinRate := r.workspace.rateAllowance.tryAcquire(r.recorder.now())
		err := send()
		var apiErr *apierror.Error
		if !errors.As(err, &apiErr) {
			return err
		}
		if withinRate {
			r.workspace.rateAllowance.refund(r.recorder.now())
		}
		if apiErr.Kind != apierror.BudgetExhausted {
			r.recorder.recordRefusal(apiErr.Kind, withinRate)
		}
		if apiErr.RetryAfter <= 0 || attempt == maxAttempts {
			return err
		}
		sleepContext(ctx, apiErr.RetryAfter)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func sleepContext(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// measureUnloadedCallTime measures the mean duration of a call while nothing else runs.
func (c *workspaceClient) measureUnloadedCallTime(ctx context.Context, opts *LoadOptions, recorder *recorder) error {
	r := &programRun{workspace: c, opts: opts, recorder: recorder}
	turn := simulation.Turn{InputTokens: 300, OutputTokens: 150}
	startedAt := opts.Factory.Now()
	agent := simulation.Agent{Turns: []simulation.Turn{turn, turn}}
	if err := r.runProgram(ctx, agent); err != nil {
		return err
	}
	c.unloadedCallTime = opts.Factory.Now().Sub(startedAt) / time.Duration(len(agent.Turns))

	return nil
}
