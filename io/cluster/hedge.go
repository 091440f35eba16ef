package cluster

import (
	"context"
	"errors"
	"time"
)

// maxHedgedCalls bounds the calls of hedge that are made at the same time.
const maxHedgedCalls = 3

// hedge makes a call, and makes it again after each delay without a result, since its answer may be lost or only late. It returns
// the first result without an error, or the errors of all calls.
func hedge[T any](ctx context.Context, delay time.Duration, call func(ctx context.Context) (T, error)) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, maxHedgedCalls)
	started, failed := 0, 0
	start := func() {
		started++
		go func() {
			value, err := call(ctx)
			outcomes <- outcome{value, err}
		}()
	}
	start()
	ticker := time.NewTicker(delay)
	defer ticker.Stop()
	var errs []error
	for {
		select {
		case result := <-outcomes:
			if result.err == nil {
				return result.value, nil
			}
			errs = append(errs, result.err)
			if failed++; failed == started {
				var none T

				return none, errors.Join(errs...)
			}
		case <-ticker.C:
			if started < maxHedgedCalls {
				start()
			}
		}
	}
}
