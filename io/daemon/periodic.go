package daemon

import (
	"context"
	"time"
)

// runPeriodically calls run with the current time once per interval until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, run func(context.Context, time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			run(ctx, time.Now())
		}
	}
}
