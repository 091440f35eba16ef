package history

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// separator joins the texts of a history into a comparable state.
const separator = "\x00"

func split(state string) []string {
	if state == "" {
		return nil
	}

	return strings.Split(state, separator)
}

// byKey checks each program or idempotency key by itself.
func byKey(operations []porcupine.Operation) [][]porcupine.Operation {
	groups := make(map[string][]porcupine.Operation)
	for _, op := range operations {
		if input, ok := op.Input.(Input); ok {
			groups[input.Key] = append(groups[input.Key], op)
		}
	}
	parts := make([][]porcupine.Operation, 0, len(groups))
	for _, group := range groups {
		parts = append(parts, group)
	}

	return parts
}

// Programs models each program as a list of turns that grows in order.
func Programs() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: byKey,
		Init:      func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			return stepProgram(state.(string), input.(Input), output.(Output)) //nolint:forcetypeassert // the recorder's own types
		},
		Equal: func(a, b any) bool { return a == b },
		DescribeOperation: func(input, output any) string {
			return fmt.Sprintf("%+v -> %+v", input, output)
		},
	}

	return model.ToModel()
}

func stepProgram(state string, input Input, output Output) []any {
	turns := split(state)
	if input.Kind == Read {
		if output.Verdict != OK || slices.Equal(turns, output.Texts) {
			return []any{state}
		}

		return nil
	}
	number := int(input.Number)
	next := strings.Join(append(slices.Clone(turns), input.Text), separator)
	kept := number <= len(turns) && turns[number-1] == input.Text
	switch {
	case output.Verdict == NotRun:
		return []any{state}
	case output.Verdict == OK && kept:
		return []any{state}
	case output.Verdict == OK && number == len(turns)+1:
		return []any{next}
	case output.Verdict == Unknown && number == len(turns)+1:
		return []any{state, next}
	case output.Verdict == Unknown:
		return []any{state}
	default:
		return nil
	}
}

// Calls models each idempotency key as a register that is written at most once.
func Calls() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: byKey,
		Init:      func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			return stepCall(state.(string), input.(Input), output.(Output)) //nolint:forcetypeassert // the recorder's own types
		},
		Equal: func(a, b any) bool { return a == b },
		DescribeOperation: func(input, output any) string {
			return fmt.Sprintf("%+v -> %+v", input, output)
		},
	}

	return model.ToModel()
}

// ran stands for an effect whose answer nobody has seen.
const ran = "?"

func stepCall(state string, input Input, output Output) []any {
	if input.Kind == Effects {
		return stepEffects(state, output)
	}
	switch {
	case output.Verdict == NotRun:
		return []any{state}
	case output.Verdict == Unknown && state == "":
		return []any{state, ran}
	case output.Verdict == Unknown:
		return []any{state}
	case state == "" || state == ran || state == output.Text:
		return []any{output.Text}
	default:
		return nil
	}
}

// stepEffects compares the state with the effects that the service lists.
func stepEffects(state string, output Output) []any {
	switch {
	case len(output.Texts) > 1:
		return nil
	case len(output.Texts) == 0 && state == "":
		return []any{state}
	case len(output.Texts) == 1 && (state == ran || state == output.Texts[0]):
		return []any{state}
	default:
		return nil
	}
}
