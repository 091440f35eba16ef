package history

import (
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"cardamomward/core/id"
)

// Kind says what an operation does.
type Kind int

// Kinds of operations.
const (
	Turn Kind = iota
	Read
	Call
	Effects
)

// Input is what a caller asked for; Key names the program or the idempotency key that it concerns.
type Input struct {
	Kind   Kind
	Key    string
	Number id.Turn
	Text   string
}

// Verdict says what a caller was told.
type Verdict int

// What callers are told.
const (
	OK Verdict = iota
	NotRun
	Unknown
)

// Output is what a caller was told; Texts are a history or the effects of a key.
type Output struct {
	Verdict Verdict
	Text    string
	Texts   []string
}

// Recorder collects the operations of concurrent callers; its zero value is empty.
type Recorder struct {
	mu         sync.Mutex
	began      time.Time
	operations []porcupine.Operation
}

// Do runs an operation and records it; one whose effect is unknown may take effect at any later time.
func (r *Recorder) Do(client int, input Input, run func() Output) Output {
	call := r.elapsed()
	output := run()
	end := r.elapsed()
	if output.Verdict == Unknown {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: client, Input: input, Output: output, Call: call, Return: end,
	})

	return output
}

func (r *Recorder) elapsed() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.began.IsZero() {
		r.began = time.Now()
	}

	return time.Since(r.began).Nanoseconds()
}

// Operations returns the operations of the kinds so far.
func (r *Recorder) Operations(kinds ...Kind) []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var chosen []porcupine.Operation
	for _, op := range r.operations {
		input, ok := op.Input.(Input)
		for _, kind := range kinds {
			if ok && input.Kind == kind {
				chosen = append(chosen, op)
			}
		}
	}

	return chosen
}
