package history

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Check returns the operations of the first program or key whose history could not have happened, or "".
func Check(model porcupine.Model, operations []porcupine.Operation, timeout time.Duration) string {
	for _, part := range model.Partition(operations) {
		if result := porcupine.CheckOperationsTimeout(model, part, timeout); result != porcupine.Ok {
			return describe(result, part)
		}
	}

	return ""
}

func describe(result porcupine.CheckResult, part []porcupine.Operation) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s:\n", result)
	for _, op := range part {
		fmt.Fprintf(&text, "  %d..%d client %d: %+v -> %+v\n", op.Call, op.Return, op.ClientId, op.Input, op.Output)
	}

	return text.String()
}
