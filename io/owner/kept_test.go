package owner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/refusal"
)

func TestATurnWhoseRecordIsVoidIsNotToldAsNotRun(t *testing.T) {
	tests := []struct {
		name string
		err  *refusal.Error
		want refusal.Ran
	}{
		{"the slot has moved", refusal.New(refusal.OwnerChanged, "moved"), refusal.DidRun},
		{"the program has ended", refusal.New(refusal.ProgramEnded, "ended"), refusal.DidRun},
		{"the log did not answer", refusal.New(refusal.LogUnavailable, "down").WithRan(refusal.Unknown), refusal.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := refusal.From(notKept(tt.err))
			require.Equal(t, tt.want, got.Ran)
			require.Equal(t, tt.err.Kind, got.Kind)
		})
	}
}
