package linearizability

import (
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"cardamomward/core/id"
)

// OperationKind is the kind of a recorded operation.
type OperationKind int

// Kinds of operations.
const (
	OpRunTurn OperationKind = iota
	OpReadHistory
	OpCallService
	OpListEffects
)

// Input is a request; PartitionKey is the id of its program or its idempotency key.
type Input struct {
	Kind         OperationKind
	PartitionKey string
	TurnNumber   id.Turn
	Text         string
}

// Outcome is what a caller knows about the execution of its request.
type Outcome int

// Outcomes.
const (
	OK Outcome = iota
	NotExecuted
	OutcomeUnknown
)

// Output is the result of an operation; Texts are the inputs of a program history or the executions of an idempotency key.
type Output struct {
	Outcome Outcome
	Text    string
	Texts   []string
}

// Recorder collects the operations of concurrent callers; its zero value is empty.
type Recorder struct {
	mu         sync.Mutex
	startedAt  time.Time
	operations []porcupine.Operation
}

// RunAndRecord runs an operation and records it; an operation with an unknown outcome never returns in the history, because it
// may take effect at any later time.
func (r *Recorder) RunAndRecord(client int, input Input, run func() Output) Output {
	call := r.elapsedNanos()
	output := run()
	end := r.elapsedNanos()
	if output.Outcome == OutcomeUnknown {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: client, Input: input, Output: output, Call: call, Return: end,
	})

	return output
}

func (r *Recorder) elapsedNanos() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startedAt.IsZero() {
		r.startedAt = time.Now()
	}

	return time.Since(r.startedAt).Nanoseconds()
}

// OperationsOfKinds returns the operations of the given kinds that were recorded so far.
func (r *Recorder) OperationsOfKinds(kinds ...OperationKind) []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []porcupine.Operation
	for _, op := range r.operations {
		input, ok := op.Input.(Input)
		for _, kind := range kinds {
			if ok && input.Kind == kind {
				selected = append(selected, op)
			}
		}
	}

	return selected
}
