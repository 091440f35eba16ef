package history

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
	// attemptTimeout bounds one request.
	attemptTimeout = 8 * time.Second
	// anyHostShare is one in how many requests enters at any host in place of the one to use.
	anyHostShare = 4
	// maxPause bounds how long a caller waits before it comes back.
	maxPause = time.Second
	// minPause keeps callers from coming back at once.
	minPause = 20 * time.Millisecond
)

// Runner runs programs at whichever host answers, and comes back after refusals as a careful caller does.
type Runner struct {
	Recorder *Recorder
	Bearer   string
	Model    string
	Service  id.Service

	mu        sync.Mutex
	addresses []string
	// refusals counts the refusals by kind.
	refusals map[apierror.Kind]int
	broken   int
}

// SetAddresses replaces the addresses that callers know.
func (r *Runner) SetAddresses(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addresses = addresses
}

// Refusals returns how often callers were refused, by kind, and how many requests got no whole answer.
func (r *Runner) Refusals() (kinds map[apierror.Kind]int, broken int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kinds = make(map[apierror.Kind]int, len(r.refusals))
	for kind, count := range r.refusals {
		kinds[kind] = count
	}

	return kinds, r.broken
}

// client asks some host which address to use and returns a client for it.
func (r *Runner) client(ctx context.Context, random *rand.Rand, program id.Program) *caller.Client {
	r.mu.Lock()
	seed := r.addresses[random.IntN(len(r.addresses))]
	r.mu.Unlock()
	client := &caller.Client{
		Address:    seed,
		APIKey:     r.Bearer,
		HTTPClient: &http.Client{Timeout: attemptTimeout, Transport: http.DefaultTransport},
	}
	// One request in some enters at any host, which passes it on.
	if random.IntN(anyHostShare) == 0 {
		return client
	}
	if where, err := client.FindHost(ctx, program); err == nil {
		client.Address = where.Address
	}

	return client
}

// verdict says what an error tells the caller, and notes it.
func (r *Runner) verdict(err error) (Verdict, time.Duration) {
	if err == nil {
		return OK, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var refused *apierror.Error
	if !errors.As(err, &refused) {
		r.broken++

		return Unknown, minPause
	}
	if r.refusals == nil {
		r.refusals = make(map[apierror.Kind]int)
	}
	r.refusals[refused.Kind]++
	if refused.Execution == apierror.NotExecuted {
		return NotRun, refused.RetryAfter
	}

	return Unknown, refused.RetryAfter
}

// Program runs one program with a call that must not be repeated after each turn, and reads its history at the end.
func (r *Runner) Program(ctx context.Context, number, turns int) error {
	random := rand.New(rand.NewPCG(uint64(number), 1))
	program, err := r.open(ctx, random, number)
	if err != nil {
		return err
	}
	for turn := 1; turn <= turns; turn++ {
		if err := r.turn(ctx, random, number, program, id.Turn(turn)); err != nil {
			return fmt.Errorf("program %s turn %d: %w", program, turn, err)
		}
		if err := r.call(ctx, random, number, program, turn); err != nil {
			return fmt.Errorf("program %s call %d: %w", program, turn, err)
		}
	}

	return r.read(ctx, random, number, program)
}

func (r *Runner) open(ctx context.Context, random *rand.Rand, number int) (id.Program, error) {
	for {
		program, err := r.client(ctx, random, "").OpenProgram(ctx, caller.OpenRequest{Name: fmt.Sprintf("program %d", number)})
		verdict, pause := r.verdict(err)
		if verdict == OK {
			return program.ID, nil
		}
		if !rest(ctx, pause) {
			return "", fmt.Errorf("open: %w", err)
		}
	}
}

func (r *Runner) turn(ctx context.Context, random *rand.Rand, number int, program id.Program, turn id.Turn) error {
	text := fmt.Sprintf("program %s turn %d", program, turn)
	chat := caller.ChatRequest{Model: r.Model, Messages: []caller.ChatMessage{{Role: "user", Content: caller.Text(text)}}}
	for {
		var failed error
		var pause time.Duration
		output := r.Recorder.Do(number, Input{Kind: Turn, Key: string(program), Number: turn, Text: text}, func() Output {
			var verdict Verdict
			_, failed = r.client(ctx, random, program).RunTurn(ctx, program, turn, chat)
			verdict, pause = r.verdict(failed)

			return Output{Verdict: verdict}
		})
		if output.Verdict == OK {
			return nil
		}
		if !rest(ctx, pause) {
			return failed
		}
	}
}

// call sends one call; an unknown outcome is final for its key.
func (r *Runner) call(ctx context.Context, random *rand.Rand, number int, program id.Program, turn int) error {
	key := fmt.Sprintf("%s-%d", program, turn)
	for {
		var failed error
		var pause time.Duration
		output := r.Recorder.Do(number, Input{Kind: Call, Key: key}, func() Output {
			answer, err := r.client(ctx, random, program).CallService(ctx, program, r.Service, "confirm/"+key, key, key)
			failed = err
			var verdict Verdict
			verdict, pause = r.verdict(err)

			return Output{Verdict: verdict, Text: strings.TrimSpace(string(answer.Body))}
		})
		var refused *apierror.Error
		if output.Verdict == OK || (errors.As(failed, &refused) && refused.Kind == apierror.OutcomeUnknown) {
			return nil
		}
		if !rest(ctx, pause) {
			return failed
		}
	}
}

func (r *Runner) read(ctx context.Context, random *rand.Rand, number int, program id.Program) error {
	for {
		var failed error
		var pause time.Duration
		output := r.Recorder.Do(number, Input{Kind: Read, Key: string(program)}, func() Output {
			history, err := r.client(ctx, random, program).ProgramHistory(ctx, program)
			failed = err
			var verdict Verdict
			verdict, pause = r.verdict(err)

			return Output{Verdict: verdict, Texts: inputs(history)}
		})
		if output.Verdict == OK {
			return nil
		}
		if !rest(ctx, pause) {
			return failed
		}
	}
}

func inputs(program caller.Program) []string {
	texts := make([]string, 0, len(program.History))
	for _, turn := range program.History {
		for _, m := range turn.Input {
			texts = append(texts, m.Content)
		}
	}

	return texts
}

// rest waits as the refusal says, and reports whether to go on.
func rest(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(min(max(pause, minPause), maxPause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
