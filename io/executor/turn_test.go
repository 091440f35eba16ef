package executor

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
)

func TestTurnWithRejectedRecordReportedAsExecuted(t *testing.T) {
	tests := []struct {
		name string
		err  *apierror.Error
		want apierror.Execution
	}{
		{"the slot has moved", apierror.New(apierror.OwnerChanged, "moved"), apierror.Executed},
		{"the program has ended", apierror.New(apierror.ProgramEnded, "ended"), apierror.Executed},
		{"the log did not answer", apierror.New(apierror.LogUnavailable, "down").WithExecution(apierror.ExecutionUnknown), apierror.ExecutionUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := apierror.From(uncommittedTurnError(tt.err))
			require.Equal(t, tt.want, got.Execution)
			require.Equal(t, tt.err.Kind, got.Kind)
		})
	}
}
