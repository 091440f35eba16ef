package capacity

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/io/operator"
)

// reachPoll is how often each host is asked whether a change is in force there.
const reachPoll = 2 * time.Millisecond

// reachAll returns how long after began the last host sees what seen looks for.
func (f *fleet) reachAll(t *testing.T, began time.Time, seen func(context.Context, *operator.Client) bool) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	times := make([]time.Duration, len(f.operators))
	var group sync.WaitGroup
	for i, address := range f.operators {
		group.Go(func() {
			client := &operator.Client{Address: address}
			for ctx.Err() == nil && !seen(ctx, client) {
				time.Sleep(reachPoll)
			}
			times[i] = time.Since(began)
		})
	}
	group.Wait()
	require.NoError(t, ctx.Err(), "a host never saw the change")
	last := time.Duration(0)
	for _, reached := range times {
		last = max(last, reached)
	}

	return last
}

// reach returns how long settings and a key's withdrawal take from the request to the last host.
func (f *fleet) reach(t *testing.T) (settings, withdrawal time.Duration) {
	t.Helper()
	client := &operator.Client{Address: f.operators[0]}
	current, err := client.Settings(t.Context())
	require.NoError(t, err)
	began := time.Now()
	published, err := client.Publish(t.Context(), operator.PublishRequest{
		Base: current.Version, Author: "capacity", Document: "workspaces:\n  clerks: {rate: 10/s}\n",
	})
	require.NoError(t, err)
	settings = f.reachAll(t, began, func(ctx context.Context, c *operator.Client) bool {
		at, err := c.Settings(ctx)

		return err == nil && at.Version >= published.Version
	})
	issued, err := client.IssueKey(t.Context(), "clerks")
	require.NoError(t, err)
	began = time.Now()
	_, err = client.WithdrawKey(t.Context(), issued.Key)
	require.NoError(t, err)
	withdrawal = f.reachAll(t, began, func(ctx context.Context, c *operator.Client) bool {
		keys, err := c.Keys(ctx)

		return err == nil && len(keys.Keys) == 1 && keys.Keys[0].Withdrawn
	})

	return settings, withdrawal
}
