package caller

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/refusal"
)

func TestOnlyCallsThatLeftNoTraceAreTriedAgain(t *testing.T) {
	changed := refusal.New(refusal.OwnerChanged, "moved")
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"it did not run", changed, true},
		{"it ran and its record was void", changed.WithRan(refusal.DidRun), true},
		{"the owner did not answer", changed.WithRan(refusal.Unknown), false},
		{"another refusal", refusal.New(refusal.RateLimited, "over its rate"), false},
		{"no refusal", errors.New("broken"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, moved(tt.err)) })
	}
}
