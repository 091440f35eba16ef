package linearizability

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// stateSeparator joins the texts of a history into one string, since model states must be comparable.
const stateSeparator = "\x00"

func splitState(state string) []string {
	if state == "" {
		return nil
	}

	return strings.Split(state, stateSeparator)
}

// partitionByKey groups operations by program or idempotency key, so that each is checked on its own.
func partitionByKey(operations []porcupine.Operation) [][]porcupine.Operation {
	groups := make(map[string][]porcupine.Operation)
	for _, op := range operations {
		if input, ok := op.Input.(Input); ok {
			groups[input.PartitionKey] = append(groups[input.PartitionKey], op)
		}
	}
	parts := make([][]porcupine.Operation, 0, len(groups))
	for _, group := range groups {
		parts = append(parts, group)
	}

	return parts
}

// ProgramModel returns the model of a program: an append-only list of turns, where a repeated turn has no further effect.
func ProgramModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partitionByKey,
		Init:      func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			return stepProgram(state.(string), input.(Input), output.(Output)) //nolint:forcetypeassert // recorded by Recorder with these types
		},
		Equal: func(a, b any) bool { return a == b },
		DescribeOperation: func(input, output any) string {
			return fmt.Sprintf("%+v -> %+v", input, output)
		},
	}

	return model.ToModel()
}

func stepProgram(state string, input Input, output Output) []any {
	turns := splitState(state)
	if input.Kind == OpReadHistory {
		if output.Outcome != OK || slices.Equal(turns, output.Texts) {
			return []any{state}
		}

		return nil
	}
	number := int(input.TurnNumber)
	next := strings.Join(append(slices.Clone(turns), input.Text), stateSeparator)
	alreadyRecorded := number <= len(turns) && turns[number-1] == input.Text
	switch {
	case output.Outcome == NotExecuted:
		return []any{state}
	case output.Outcome == OK && alreadyRecorded:
		return []any{state}
	case output.Outcome == OK && number == len(turns)+1:
		return []any{next}
	case output.Outcome == OutcomeUnknown && number == len(turns)+1:
		return []any{state, next}
	case output.Outcome == OutcomeUnknown:
		return []any{state}
	default:
		return nil
	}
}

// ServiceCallModel returns the model of an idempotency key: a register that is written at most once.
func ServiceCallModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partitionByKey,
		Init:      func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			return stepCall(state.(string), input.(Input), output.(Output)) //nolint:forcetypeassert // recorded by Recorder with these types
		},
		Equal: func(a, b any) bool { return a == b },
		DescribeOperation: func(input, output any) string {
			return fmt.Sprintf("%+v -> %+v", input, output)
		},
	}

	return model.ToModel()
}

// ran is the state of an executed call whose response no caller has seen.
const unseenEffect = "?"

func stepCall(state string, input Input, output Output) []any {
	if input.Kind == OpListEffects {
		return stepEffects(state, output)
	}
	switch {
	case output.Outcome == NotExecuted:
		return []any{state}
	case output.Outcome == OutcomeUnknown && state == "":
		return []any{state, unseenEffect}
	case output.Outcome == OutcomeUnknown:
		return []any{state}
	case state == "" || state == unseenEffect || state == output.Text:
		return []any{output.Text}
	default:
		return nil
	}
}

// stepEffects compares the state with the executions that the service lists for the key.
func stepEffects(state string, output Output) []any {
	switch {
	case len(output.Texts) > 1:
		return nil
	case len(output.Texts) == 0 && state == "":
		return []any{state}
	case len(output.Texts) == 1 && (state == unseenEffect || state == output.Texts[0]):
		return []any{state}
	default:
		return nil
	}
}
