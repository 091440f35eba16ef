package daemon

import (
	"context"
	"time"
)

// every calls run with the present time once an interval until ctx ends.
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
