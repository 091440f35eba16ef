package linearizability

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/io/caller"
)

const (
	// requestTimeout is the timeout of one HTTP request.
	requestTimeout = 8 * time.Second
	// anyHostOneIn is the average number of requests per request that is sent to a random host in place of the owner, to test forwarding.
	anyHostOneIn = 4
	// maxRetryDelay is the upper bound of the delay before a retry.
	maxRetryDelay = time.Second
	// minRetryDelay is the lower bound of the delay before a retry, so that callers don't retry in a busy loop.
	minRetryDelay = 20 * time.Millisecond
)

// Workload runs programs against the hosts and retries refused requests after the delay that the refusal gives.
type Workload struct {
	Recorder *Recorder
	APIKey   string
	Model    string
	Service  id.Service

	mu        sync.Mutex
	addresses []string
	// refusals counts the refusals by kind.
	refusals   map[apierror.Kind]int
	incomplete int
}

// SetAddresses replaces the caller addresses of the hosts that requests are sent to.
func (w *Workload) SetAddresses(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses = addresses
}

// RefusalCounts returns the refusals by error kind, and how many requests got no complete response.
func (w *Workload) RefusalCounts() (kinds map[apierror.Kind]int, incomplete int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kinds = make(map[apierror.Kind]int, len(w.refusals))
	for kind, count := range w.refusals {
		kinds[kind] = count
	}

	return kinds, w.incomplete
}

// clientFor asks a random host for the owner's address and returns a client of the owner, or of the random host for some requests.
func (w *Workload) clientFor(ctx context.Context, random *rand.Rand, program id.Program) *caller.Client {
	w.mu.Lock()
	seed := w.addresses[random.IntN(len(w.addresses))]
	w.mu.Unlock()
	client := &caller.Client{
		Address:    seed,
		APIKey:     w.APIKey,
		HTTPClient: &http.Client{Timeout: requestTimeout, Transport: http.DefaultTransport},
	}
	// The random host forwards the request to the owner.
	if random.IntN(anyHostOneIn) == 0 {
		return client
	}
	if where, err := client.FindHost(ctx, program); err == nil {
		client.Address = where.Address
	}

	return client
}

// classifyError returns the outcome and retry delay of an error and counts it.
func (w *Workload) classifyError(err error) (Outcome, time.Duration) {
	if err == nil {
		return OK, 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var apiErr *apierror.Error
	if !errors.As(err, &apiErr) {
		w.incomplete++

		return OutcomeUnknown, minRetryDelay
	}
	if w.refusals == nil {
		w.refusals = make(map[apierror.Kind]int)
	}
	w.refusals[apiErr.Kind]++
	if apiErr.Execution == apierror.NotExecuted {
		return NotExecuted, apiErr.RetryAfter
	}

	return OutcomeUnknown, apiErr.RetryAfter
}

// RunProgram runs one program: each turn is followed by a service call that is not idempotent, and at the end the history is read.
func (w *Workload) RunProgram(ctx context.Context, number, turns int) error {
	random := rand.New(rand.NewPCG(uint64(number), 1))
	program, err := w.openProgram(ctx, random, number)
	if err != nil {
		return err
	}
	for turn := 1; turn <= turns; turn++ {
		if err := w.runTurn(ctx, random, number, program, id.Turn(turn)); err != nil {
			return fmt.Errorf("program %s turn %d: %w", program, turn, err)
		}
		if err := w.callService(ctx, random, number, program, turn); err != nil {
			return fmt.Errorf("program %s call %d: %w", program, turn, err)
		}
	}

	return w.readHistory(ctx, random, number, program)
}

func (w *Workload) openProgram(ctx context.Context, random *rand.Rand, number int) (id.Program, error) {
	for {
		program, err := w.clientFor(ctx, random, "").OpenProgram(ctx, caller.OpenRequest{Name: fmt.Sprintf("program %d", number)})
		outcome, delay := w.classifyError(err)
		if outcome == OK {
			return program.ID, nil
		}
		if !sleepBeforeRetry(ctx, delay) {
			return "", fmt.Errorf("open: %w", err)
		}
	}
}

func (w *Workload) runTurn(ctx context.Context, random *rand.Rand, number int, program id.Program, turn id.Turn) error {
	text := fmt.Sprintf("program %s turn %d", program, turn)
	chat := caller.ChatRequest{Model: w.Model, Messages: []caller.ChatMessage{{Role: "user", Content: caller.Text(text)}}}
	for {
		var lastErr error
		var delay time.Duration
		output := w.Recorder.RunAndRecord(number, Input{Kind: OpRunTurn, PartitionKey: string(program), TurnNumber: turn, Text: text}, func() Output {
			var outcome Outcome
			_, lastErr = w.clientFor(ctx, random, program).RunTurn(ctx, program, turn, chat)
			outcome, delay = w.classifyError(lastErr)

			return Output{Outcome: outcome}
		})
		if output.Outcome == OK {
			return nil
		}
		if !sleepBeforeRetry(ctx, delay) {
			return lastErr
		}
	}
}

// callService retries one service call until it succeeds; outcome-unknown is final for an idempotency key.
func (w *Workload) callService(ctx context.Context, random *rand.Rand, number int, program id.Program, turn int) error {
	key := fmt.Sprintf("%s-%d", program, turn)
	for {
		var lastErr error
		var delay time.Duration
		output := w.Recorder.RunAndRecord(number, Input{Kind: OpCallService, PartitionKey: key}, func() Output {
			response, err := w.clientFor(ctx, random, program).CallService(ctx, program, w.Service, "confirm/"+key, key, key)
			lastErr = err
			var outcome Outcome
			outcome, delay = w.classifyError(err)

			return Output{Outcome: outcome, Text: strings.TrimSpace(string(response.Body))}
		})
		var apiErr *apierror.Error
		if output.Outcome == OK || (errors.As(lastErr, &apiErr) && apiErr.Kind == apierror.OutcomeUnknown) {
			return nil
		}
		if !sleepBeforeRetry(ctx, delay) {
			return lastErr
		}
	}
}

func (w *Workload) readHistory(ctx context.Context, random *rand.Rand, number int, program id.Program) error {
	for {
		var lastErr error
		var delay time.Duration
		output := w.Recorder.RunAndRecord(number, Input{Kind: OpReadHistory, PartitionKey: string(program)}, func() Output {
			history, err := w.clientFor(ctx, random, program).ProgramHistory(ctx, program)
			lastErr = err
			var outcome Outcome
			outcome, delay = w.classifyError(err)

			return Output{Outcome: outcome, Texts: inputTexts(history)}
		})
		if output.Outcome == OK {
			return nil
		}
		if !sleepBeforeRetry(ctx, delay) {
			return lastErr
		}
	}
}

func inputTexts(program caller.Program) []string {
	texts := make([]string, 0, len(program.History))
	for _, turn := range program.History {
		for _, m := range turn.Input {
			texts = append(texts, m.Content)
		}
	}

	return texts
}

// rest waits for the delay, within bounds, and reports whether ctx is still active.
func sleepBeforeRetry(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(min(max(delay, minRetryDelay), maxRetryDelay))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
