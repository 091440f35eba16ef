package linearizability_test

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/test/linearizability"
)

func runTurn(number int, text string, outcome linearizability.Outcome) porcupine.Operation {
	return porcupine.Operation{
		Input:  linearizability.Input{Kind: linearizability.OpRunTurn, PartitionKey: "p", TurnNumber: id.Turn(number), Text: text},
		Output: linearizability.Output{Outcome: outcome},
	}
}

func readHistory(texts ...string) porcupine.Operation {
	return porcupine.Operation{
		Input:  linearizability.Input{Kind: linearizability.OpReadHistory, PartitionKey: "p"},
		Output: linearizability.Output{Texts: texts},
	}
}

func callService(outcome linearizability.Outcome, text string) porcupine.Operation {
	return porcupine.Operation{
		Input:  linearizability.Input{Kind: linearizability.OpCallService, PartitionKey: "k"},
		Output: linearizability.Output{Outcome: outcome, Text: text},
	}
}

func listEffects(texts ...string) porcupine.Operation {
	return porcupine.Operation{
		Input:  linearizability.Input{Kind: linearizability.OpListEffects, PartitionKey: "k"},
		Output: linearizability.Output{Texts: texts},
	}
}

// sequential gives operations times so that each ends before the next begins.
func sequential(operations ...porcupine.Operation) []porcupine.Operation {
	for i := range operations {
		operations[i].Call = int64(10 * i)
		operations[i].Return = int64(10*i + 5)
	}

	return operations
}

func TestModelsAcceptOnlyLinearizableHistories(t *testing.T) {
	const ok, notExecuted, unknown = linearizability.OK, linearizability.NotExecuted, linearizability.OutcomeUnknown
	tests := []struct {
		name         string
		model        porcupine.Model
		ops          []porcupine.Operation
		linearizable bool
	}{
		{"turns in order", linearizability.ProgramModel(), sequential(runTurn(1, "a", ok), runTurn(2, "b", ok), readHistory("a", "b")), true},
		{"a turn retried after an unknown outcome", linearizability.ProgramModel(), sequential(runTurn(1, "a", unknown), runTurn(1, "a", ok), readHistory("a")), true},
		{"a turn recorded twice", linearizability.ProgramModel(), sequential(runTurn(1, "a", ok), runTurn(1, "a", ok), readHistory("a", "a")), false},
		{"a turn lost", linearizability.ProgramModel(), sequential(runTurn(1, "a", ok), runTurn(2, "b", ok), readHistory("a")), false},
		{"a turn that nobody sent", linearizability.ProgramModel(), sequential(runTurn(1, "a", ok), readHistory("x")), false},
		{"an unexecuted turn in the history", linearizability.ProgramModel(), sequential(runTurn(1, "a", notExecuted), readHistory("a")), false},
		{"turns out of order", linearizability.ProgramModel(), sequential(runTurn(2, "b", ok), runTurn(1, "a", ok)), false},
		{"a call replayed with the same response", linearizability.ServiceCallModel(), sequential(callService(ok, "c1"), callService(ok, "c1"), listEffects("c1")), true},
		{"a call executed twice", linearizability.ServiceCallModel(), sequential(callService(ok, "c1"), callService(ok, "c1"), listEffects("c1", "c2")), false},
		{"two responses for one key", linearizability.ServiceCallModel(), sequential(callService(ok, "c1"), callService(ok, "c2")), false},
		{"unknown outcome, executed", linearizability.ServiceCallModel(), sequential(callService(unknown, ""), listEffects("c1")), true},
		{"unknown outcome, not executed", linearizability.ServiceCallModel(), sequential(callService(unknown, ""), listEffects()), true},
		{"an executed call reported as not executed", linearizability.ServiceCallModel(), sequential(callService(notExecuted, ""), listEffects("c1")), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.linearizable, porcupine.CheckOperations(tt.model, tt.ops))
		})
	}
}
