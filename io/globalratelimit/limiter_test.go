package globalratelimit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/ratelimit"
	"cardamomward/core/settings"
)

// A workspace without floor rate at this host is not over its rate because the owner's response was slow.
func TestGrantThatArrivesAfterItsLeaseDoesNotCountAsExceededRate(t *testing.T) {
	const lease = 100 * time.Millisecond
	workspace := &settings.Workspace{ID: "clerks", Rate: 10_000, Burst: 0}
	for name, test := range map[string]struct {
		slowCalls int
		grant     ratelimit.Grant
		want      apierror.Kind
	}{
		"slow once":     {slowCalls: 1, grant: ratelimit.Grant{Requests: 1, Lease: lease}},
		"always slow":   {slowCalls: 1000, grant: ratelimit.Grant{Requests: 1, Lease: lease}, want: apierror.Overloaded},
		"over the rate": {grant: ratelimit.Grant{RetryAfter: time.Second}, want: apierror.RateLimited},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				limiter := &Limiter{MaxHosts: 3, RequestGrant: func(context.Context, id.Workspace, int64) (ratelimit.Grant, error) {
					if calls++; calls <= test.slowCalls {
						time.Sleep(2 * lease)
					}

					return test.grant, nil
				}}
				err := limiter.Acquire(t.Context(), workspace, time.Now())
				if test.want == "" {
					require.NoError(t, err)

					return
				}
				require.Equal(t, test.want, apierror.From(err).Kind)
			})
		})
	}
}
