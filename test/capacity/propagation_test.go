package capacity

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/io/operatorapi"
)

// propagationPollInterval is the interval at which hosts are polled for a change.
const propagationPollInterval = 2 * time.Millisecond

// awaitOnAllHosts returns the time from startedAt until seen has returned true for every host.
func (f *fleet) awaitOnAllHosts(t *testing.T, startedAt time.Time, seen func(context.Context, *operatorapi.Client) bool) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	times := make([]time.Duration, len(f.operatorAddresses))
	var group sync.WaitGroup
	for i, address := range f.operatorAddresses {
		group.Go(func() {
			client := &operatorapi.Client{Address: address}
			for ctx.Err() == nil && !seen(ctx, client) {
				time.Sleep(propagationPollInterval)
			}
			times[i] = time.Since(startedAt)
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

// measurePropagation returns the time from the request until every host has applied new settings, and a key's withdrawal.
func (f *fleet) measurePropagation(t *testing.T) (settings, withdrawal time.Duration) {
	t.Helper()
	client := &operatorapi.Client{Address: f.operatorAddresses[0]}
	current, err := client.GetSettings(t.Context())
	require.NoError(t, err)
	startedAt := time.Now()
	published, err := client.PublishSettings(t.Context(), operatorapi.PublishRequest{
		BaseVersion: current.Version, Author: "capacity", Document: "workspaces:\n  clerks: {rate: 10/s}\n",
	})
	require.NoError(t, err)
	settings = f.awaitOnAllHosts(t, startedAt, func(ctx context.Context, c *operatorapi.Client) bool {
		at, err := c.GetSettings(ctx)

		return err == nil && at.Version >= published.Version
	})
	issued, err := client.IssueKey(t.Context(), "clerks")
	require.NoError(t, err)
	startedAt = time.Now()
	_, err = client.WithdrawKey(t.Context(), issued.Key)
	require.NoError(t, err)
	withdrawal = f.awaitOnAllHosts(t, startedAt, func(ctx context.Context, c *operatorapi.Client) bool {
		keys, err := c.ListKeys(ctx)

		return err == nil && len(keys.Keys) == 1 && keys.Keys[0].Withdrawn
	})

	return settings, withdrawal
}
