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
		{"not executed", changed, true},
		{"executed and its record invalidated", changed.WithExecution(apierror.Executed), true},
		{"the owner did not respond", changed.WithExecution(apierror.ExecutionUnknown), false},
		{"another error kind", apierror.New(apierror.RateLimited, "over its rate"), false},
		{"not an API error", errors.New("broken"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, isRetryableOwnerChange(tt.err)) })
	}
}
