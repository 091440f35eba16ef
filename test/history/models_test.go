package history_test

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/test/history"
)

func turn(number int, text string, verdict history.Verdict) porcupine.Operation {
	return porcupine.Operation{
		Input:  history.Input{Kind: history.Turn, Key: "p", Number: id.Turn(number), Text: text},
		Output: history.Output{Verdict: verdict},
	}
}

func read(texts ...string) porcupine.Operation {
	return porcupine.Operation{
		Input:  history.Input{Kind: history.Read, Key: "p"},
		Output: history.Output{Texts: texts},
	}
}

func call(verdict history.Verdict, text string) porcupine.Operation {
	return porcupine.Operation{
		Input:  history.Input{Kind: history.Call, Key: "k"},
		Output: history.Output{Verdict: verdict, Text: text},
	}
}

func effects(texts ...string) porcupine.Operation {
	return porcupine.Operation{
		Input:  history.Input{Kind: history.Effects, Key: "k"},
		Output: history.Output{Texts: texts},
	}
}

// inOrder gives operations times so that each ends before the next begins.
func inOrder(operations ...porcupine.Operation) []porcupine.Operation {
	for i := range operations {
		operations[i].Call = int64(10 * i)
		operations[i].Return = int64(10*i + 5)
	}

	return operations
}

func TestModelsTellPossibleHistoriesFromOthers(t *testing.T) {
	const ok, notRun, unknown = history.OK, history.NotRun, history.Unknown
	tests := []struct {
		name     string
		model    porcupine.Model
		ops      []porcupine.Operation
		possible bool
	}{
		{"turns in order", history.Programs(), inOrder(turn(1, "a", ok), turn(2, "b", ok), read("a", "b")), true},
		{"a turn repeated", history.Programs(), inOrder(turn(1, "a", unknown), turn(1, "a", ok), read("a")), true},
		{"a turn twice in the history", history.Programs(), inOrder(turn(1, "a", ok), turn(1, "a", ok), read("a", "a")), false},
		{"a turn lost", history.Programs(), inOrder(turn(1, "a", ok), turn(2, "b", ok), read("a")), false},
		{"another's turn", history.Programs(), inOrder(turn(1, "a", ok), read("x")), false},
		{"a turn that did not run is there", history.Programs(), inOrder(turn(1, "a", notRun), read("a")), false},
		{"out of order", history.Programs(), inOrder(turn(2, "b", ok), turn(1, "a", ok)), false},
		{"a call answered twice alike", history.Calls(), inOrder(call(ok, "c1"), call(ok, "c1"), effects("c1")), true},
		{"a call that ran twice", history.Calls(), inOrder(call(ok, "c1"), call(ok, "c1"), effects("c1", "c2")), false},
		{"two answers", history.Calls(), inOrder(call(ok, "c1"), call(ok, "c2")), false},
		{"unknown and run", history.Calls(), inOrder(call(unknown, ""), effects("c1")), true},
		{"unknown and not run", history.Calls(), inOrder(call(unknown, ""), effects()), true},
		{"a wrong not-run", history.Calls(), inOrder(call(notRun, ""), effects("c1")), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.possible, porcupine.CheckOperations(tt.model, tt.ops))
		})
	}
}
