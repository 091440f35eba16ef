package guarantees_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/io/caller"
	"cardamomward/io/operatorapi"
	"cardamomward/io/platformclient"
	"cardamomward/standin/fleet"
	"cardamomward/standin/logserver"
	"cardamomward/standin/netsim"
)

// testLogRetention makes the hosts write snapshots of their slots every second.
const testLogRetention = 2 * time.Second

// awaitFullRestatement waits until the entries appended from now on are enough to restore the state of the stream.
func awaitFullRestatement[S projection.State](tc *testCluster, stream id.Stream, empty func() S, isComplete func(S) bool) {
	tc.t.Helper()
	page, _ := tc.LogServer.Store.Read(stream, 0, time.Now())
	first := page.NextOffset
	tc.requireEventually(func() bool {
		restored := projection.Applier[S]{State: empty()}
		restored.SkipTo(first)
		for {
			page, _ := tc.LogServer.Store.Read(stream, restored.NextOffset(), time.Now())
			if len(page.Entries) == 0 {
				return isComplete(restored.State)
			}
			for _, entry := range page.Entries {
				restored.ApplyAppend(entry.Offset, entry.Data)
			}
		}
	})
}

// TestStateIsRestoredAfterLogRetentionExpires replaces all hosts after the log has dropped every original record, so that a new
// host restores its state from snapshots only.
func TestStateIsRestoredAfterLogRetentionExpires(t *testing.T) {
	tc := &testCluster{t: t, network: &netsim.Network{}}
	tc.opts = fleet.Options{
		HostCount: hostCount, SettingsDocument: []byte(settingsDocument), LocationTTL: 300 * time.Millisecond,
		LogRetention: testLogRetention, Logger: logr.Discard(), Network: tc.network,
	}
	f, err := fleet.Start(t.Context(), tc.opts)
	require.NoError(t, err)
	tc.Fleet = f
	t.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), 2*waitTimeout)
	defer cancel()
	require.NoError(t, f.WaitUntilReady(ctx))
	published, err := f.OperatorClient(0).PublishSettings(ctx, operatorapi.PublishRequest{
		Document: string(f.SettingsDocument), Author: "test", WaitMillis: waitTimeout.Milliseconds(),
	})
	require.NoError(t, err)
	validKey, withdrawnKey := tc.issueKey("clerks"), tc.issueKey("clerks")
	_, err = f.OperatorClient(0).WithdrawKey(ctx, withdrawnKey.Key)
	require.NoError(t, err)
	client := tc.clientAt(0, validKey.BearerToken)
	program, err := client.OpenProgram(ctx, caller.OpenRequest{})
	require.NoError(t, err)
	for _, text := range []string{"first", "second", "third"} {
		_, err := client.SendMessage(ctx, program.ID, modelName, text)
		require.NoError(t, err)
	}
	firstResponse, err := client.CallService(ctx, program.ID, "bookings", "/book", "booking-1", map[string]string{"stand": "7"})
	require.NoError(t, err)
	before, err := client.ProgramHistory(ctx, program.ID)
	require.NoError(t, err)

	awaitFullRestatement(tc, platformclient.ProgramsStream, func() *projection.Programs { return &projection.Programs{} }, func(p *projection.Programs) bool {
		for number := range id.SlotCount {
			if p.NeedsSnapshot(id.Slot(number)) {
				return false
			}
		}

		return true
	})
	awaitFullRestatement(tc, platformclient.ControlStream, func() *projection.Control { return &projection.Control{} }, (*projection.Control).Ready)
	page, _ := f.LogServer.Store.Read(platformclient.ProgramsStream, 0, time.Now())
	f.LogServer.Store.SetFaults(logserver.Faults{RetentionMillis: 4 * testLogRetention.Milliseconds()})
	tc.requireEventually(func() bool {
		page, _ := f.LogServer.Store.Read(platformclient.ProgramsStream, 0, time.Now())
		control, _ := f.LogServer.Store.Read(platformclient.ControlStream, 0, time.Now())

		return page.FirstOffset > 0 && control.FirstOffset > published.Version.Offset()
	})
	require.Zero(t, page.FirstOffset)

	tc.replaceAllHosts(ctx)
	after, err := tc.clientAt(hostCount, validKey.BearerToken).ProgramHistory(ctx, program.ID)
	require.NoError(t, err)
	require.Equal(t, before.History, after.History)
	require.Equal(t, before.UsedTokens, after.UsedTokens)
	settings, err := tc.OperatorClient(hostCount).GetSettings(ctx)
	require.NoError(t, err)
	require.Equal(t, published.Version, settings.Version)
	_, err = tc.clientAt(hostCount, withdrawnKey.BearerToken).ProgramHistory(ctx, program.ID)
	require.Equal(t, apierror.Unauthenticated, errorKind(err))
	replayed, err := tc.clientAt(hostCount, validKey.BearerToken).CallService(ctx, program.ID, "bookings", "/book", "booking-1", map[string]string{"stand": "7"})
	require.NoError(t, err)
	require.True(t, replayed.Replayed)
	require.Equal(t, firstResponse.Body, replayed.Body)
	// The new owner of the workspace's token bucket starts with an empty bucket, so calls may be rate-limited at first.
	tc.requireEventually(func() bool {
		response, err := tc.clientAt(hostCount, validKey.BearerToken).SendMessage(ctx, program.ID, modelName, "fourth")
		require.True(t, err == nil || errorKind(err) == apierror.RateLimited, "%v", err)

		return err == nil && response.Turn == 4
	})
}

// replaceAllHosts starts a host, drains all others and waits until the new host owns all slots.
func (tc *testCluster) replaceAllHosts(ctx context.Context) {
	tc.t.Helper()
	_, err := tc.StartHost(ctx, "host-late", "domain-a", tc.opts)
	require.NoError(tc.t, err)
	ownedSlots := func() int {
		status, err := tc.OperatorClient(hostCount).GetClusterStatus(ctx)
		if err != nil {
			return 0
		}
		for _, host := range status.Hosts {
			if host.Host == "host-late" {
				return host.OwnedSlots
			}
		}

		return 0
	}
	tc.requireEventually(func() bool { return ownedSlots() > 0 })
	for i := range hostCount {
		require.NoError(tc.t, tc.OperatorClient(i).DrainHost(ctx))
	}
	tc.requireEventually(func() bool { return ownedSlots() == id.SlotCount })
}
