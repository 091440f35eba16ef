package linearizability

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// FindViolation returns the operations of the first program or idempotency key whose history is not linearizable or could not
// be checked within the timeout, or "" if all are linearizable.
func FindViolation(model porcupine.Model, operations []porcupine.Operation, timeout time.Duration) string {
	for _, part := range model.Partition(operations) {
		if result := porcupine.CheckOperationsTimeout(model, part, timeout); result != porcupine.Ok {
			return formatOperations(result, part)
		}
	}

	return ""
}

func formatOperations(result porcupine.CheckResult, part []porcupine.Operation) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s:\n", result)
	for _, op := range part {
		fmt.Fprintf(&text, "  %d..%d client %d: %+v -> %+v\n", op.Call, op.Return, op.ClientId, op.Input, op.Output)
	}

	return text.String()
}
