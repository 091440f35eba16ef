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

// Meta keys under which a refusal travels in a twirp error.
const (
	metaKind  = "kind"
	metaRan   = "ran"
	metaRetry = "retry-after-ms"
)

// serverInterceptor turns refusals into twirp errors.
func serverInterceptor(next twirp.Method) twirp.Method {
	return func(ctx context.Context, req any) (any, error) {
		resp, err := next(ctx, req)
		if err != nil {
			return nil, toTwirp(apierror.From(err))
		}

		return resp, nil
	}
}

// clientInterceptor turns twirp errors back into refusals; an error without one has an unknown effect.
func clientInterceptor(next twirp.Method) twirp.Method {
	return func(ctx context.Context, req any) (any, error) {
		resp, err := next(ctx, req)
		if err != nil {
			return nil, fromTwirp(err)
		}

		return resp, nil
	}
}

func toTwirp(refused *apierror.Error) twirp.Error {
	return twirp.NewError(twirp.FailedPrecondition, refused.Message).
		WithMeta(metaKind, string(refused.Kind)).
		WithMeta(metaRan, string(refused.Execution)).
		WithMeta(metaRetry, strconv.FormatInt(refused.RetryAfter.Milliseconds(), 10))
}

func fromTwirp(err error) error {
	var remote twirp.Error
	if !errors.As(err, &remote) || remote.Meta(metaKind) == "" {
		return unreachable(err)
	}
	retry, _ := strconv.ParseInt(remote.Meta(metaRetry), 10, 64)

	return &apierror.Error{
		Kind:       apierror.Kind(remote.Meta(metaKind)),
		Message:    remote.Msg(),
		Execution:  apierror.Execution(remote.Meta(metaRan)),
		RetryAfter: time.Duration(retry) * time.Millisecond,
	}
}

// retryUnreachable is when to come back after the owner did not answer: its slots will have moved.
const retryUnreachable = 3 * time.Second

// unreachable refuses a call that has no answer; one that was never connected did not run.
func unreachable(err error) *apierror.Error {
	ran := apierror.ExecutionUnknown
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		ran = apierror.NotExecuted
	}

	return apierror.New(apierror.OwnerChanged, "the owner of this program does not answer: %v", err).
		WithExecution(ran).WithRetryAfter(retryUnreachable)
}
