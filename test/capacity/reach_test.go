package capacity

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/io/operatorapi"
)

// reachPoll is how often each host is asked whether a change is in force there.
const reachPoll = 2 * time.Millisecond

// reachAll returns how long after began the last host sees what seen looks for.
func (f *fleet) reachAll(t *testing.T, began time.Time, seen func(context.Context, *operatorapi.Client) bool) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	times := make([]time.Duration, len(f.operators))
	var group sync.WaitGroup
	for i, address := range f.operators {
		group.Go(func() {
			client := &operatorapi.Client{Address: address}
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
	client := &operatorapi.Client{Address: f.operators[0]}
	current, err := client.GetSettings(t.Context())
	require.NoError(t, err)
	began := time.Now()
	published, err := client.PublishSettings(t.Context(), operatorapi.PublishRequest{
		BaseVersion: current.Version, Author: "capacity", Document: "workspaces:\n  clerks: {rate: 10/s}\n",
	})
	require.NoError(t, err)
	settings = f.reachAll(t, began, func(ctx context.Context, c *operatorapi.Client) bool {
		at, err := c.GetSettings(ctx)

		return err == nil && at.Version >= published.Version
	})
	issued, err := client.IssueKey(t.Context(), "clerks")
	require.NoError(t, err)
	began = time.Now()
	_, err = client.WithdrawKey(t.Context(), issued.Key)
	require.NoError(t, err)
	withdrawal = f.reachAll(t, began, func(ctx context.Context, c *operatorapi.Client) bool {
		keys, err := c.ListKeys(ctx)

		return err == nil && len(keys.Keys) == 1 && keys.Keys[0].Withdrawn
	})

	return settings, withdrawal
}
