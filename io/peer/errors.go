package peer

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"cardamomward/core/refusal"
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
			return nil, toTwirp(refusal.From(err))
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

func toTwirp(refused *refusal.Error) twirp.Error {
	return twirp.NewError(twirp.FailedPrecondition, refused.Message).
		WithMeta(metaKind, string(refused.Kind)).
		WithMeta(metaRan, string(refused.Ran)).
		WithMeta(metaRetry, strconv.FormatInt(refused.RetryAfter.Milliseconds(), 10))
}

func fromTwirp(err error) error {
	var remote twirp.Error
	if !errors.As(err, &remote) || remote.Meta(metaKind) == "" {
		return unreachable(err)
	}
	retry, _ := strconv.ParseInt(remote.Meta(metaRetry), 10, 64)

	return &refusal.Error{
		Kind:       refusal.Kind(remote.Meta(metaKind)),
		Message:    remote.Msg(),
		Ran:        refusal.Ran(remote.Meta(metaRan)),
		RetryAfter: time.Duration(retry) * time.Millisecond,
	}
}

// retryUnreachable is when to come back after the owner did not answer: its slots will have moved.
const retryUnreachable = 3 * time.Second

// unreachable refuses a call that has no answer; one that was never connected did not run.
func unreachable(err error) *refusal.Error {
	ran := refusal.Unknown
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		ran = refusal.NotRun
	}

	return refusal.New(refusal.OwnerChanged, "the owner of this program does not answer: %v", err).
		WithRan(ran).WithRetry(retryUnreachable)
}
