package peer

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"cardamomward/core/apierror"
)

// Metadata keys of a twirp error that carries an apierror.Error.
const (
	metaKind       = "kind"
	metaExecution  = "ran"
	metaRetryAfter = "retry-after-ms"
)

// serverInterceptor converts errors to twirp errors.
func serverInterceptor(next twirp.Method) twirp.Method {
	return func(ctx context.Context, req any) (any, error) {
		resp, err := next(ctx, req)
		if err != nil {
			return nil, toTwirpError(apierror.From(err))
		}

		return resp, nil
	}
}

// clientInterceptor converts twirp errors back to *apierror.Error; an error without its metadata is treated as a
// missing response.
func clientInterceptor(next twirp.Method) twirp.Method {
	return func(ctx context.Context, req any) (any, error) {
		resp, err := next(ctx, req)
		if err != nil {
			return nil, fromTwirpError(err)
		}

		return resp, nil
	}
}

func toTwirpError(apiErr *apierror.Error) twirp.Error {
	return twirp.NewError(twirp.FailedPrecondition, apiErr.Message).
		WithMeta(metaKind, string(apiErr.Kind)).
		WithMeta(metaExecution, string(apiErr.Execution)).
		WithMeta(metaRetryAfter, strconv.FormatInt(apiErr.RetryAfter.Milliseconds(), 10))
}

func fromTwirpError(err error) error {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) || twirpErr.Meta(metaKind) == "" {
		return newUnreachableError(err)
	}
	retryMillis, _ := strconv.ParseInt(twirpErr.Meta(metaRetryAfter), 10, 64)

	return &apierror.Error{
		Kind:       apierror.Kind(twirpErr.Meta(metaKind)),
		Message:    twirpErr.Msg(),
		Execution:  apierror.Execution(twirpErr.Meta(metaExecution)),
		RetryAfter: time.Duration(retryMillis) * time.Millisecond,
	}
}

// unreachableRetryAfter is the retry delay after the owner did not respond; by then, other hosts own its slots.
const unreachableRetryAfter = 3 * time.Second

// newUnreachableError returns the error of a call without a response. The call was not executed if the connection was
// never established.
func newUnreachableError(err error) *apierror.Error {
	execution := apierror.ExecutionUnknown
	var dialErr *net.OpError
	if errors.As(err, &dialErr) && dialErr.Op == "dial" {
		execution = apierror.NotExecuted
	}

	return apierror.New(apierror.OwnerChanged, "the owner of this program does not respond: %v", err).
		WithExecution(execution).WithRetryAfter(unreachableRetryAfter)
}
