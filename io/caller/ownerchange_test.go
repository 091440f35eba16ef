package caller

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
)

func TestIsRetryableOwnerChange(t *testing.T) {
	changed := apierror.New(apierror.OwnerChanged, "moved")
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"it did not run", changed, true},
		{"it ran and its record was void", changed.WithExecution(apierror.Executed), true},
		{"the owner did not answer", changed.WithExecution(apierror.ExecutionUnknown), false},
		{"another refusal", apierror.New(apierror.RateLimited, "over its rate"), false},
		{"no refusal", errors.New("broken"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, isRetryableOwnerChange(tt.err)) })
	}
}
