package promises_test

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
	"cardamomward/standin/cut"
	"cardamomward/standin/fleet"
	"cardamomward/standin/logserver"
)

// shortRetention makes the hosts restate their slots every second.
const shortRetention = 2 * time.Second

// expire waits until the entries from an offset on restore the whole stream, and has the log drop those before.
func expire[S projection.State](w *world, stream id.Stream, empty func() S, whole func(S) bool) {
	w.t.Helper()
	page, _ := w.Log.Store.Read(stream, 0, time.Now())
	first := page.NextOffset
	w.eventually(func() bool {
		late := projection.Applier[S]{State: empty()}
		late.SkipTo(first)
		for {
			page, _ := w.Log.Store.Read(stream, late.NextOffset(), time.Now())
			if len(page.Entries) == 0 {
				return whole(late.State)
			}
			for _, entry := range page.Entries {
				late.ApplyAppend(entry.Offset, entry.Data)
			}
		}
	})
}

// TestStateOutlivesTheLogsRetention replaces all hosts after every record of the work has expired.
func TestStateOutlivesTheLogsRetention(t *testing.T) {
	w := &world{t: t, network: &cut.Network{}}
	w.opts = fleet.Options{
		Hosts: hosts, Document: []byte(document), WhereLifetime: 300 * time.Millisecond,
		LogRetention: shortRetention, Logger: logr.Discard(), Network: w.network,
	}
	f, err := fleet.Start(t.Context(), w.opts)
	require.NoError(t, err)
	w.Fleet = f
	t.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), 2*patience)
	defer cancel()
	require.NoError(t, f.Ready(ctx))
	published, err := f.Operator(0).PublishSettings(ctx, operatorapi.PublishRequest{
		Document: string(f.Document), Author: "test", WaitMillis: patience.Milliseconds(),
	})
	require.NoError(t, err)
	kept, withdrawn := w.key("clerks"), w.key("clerks")
	_, err = f.Operator(0).WithdrawKey(ctx, withdrawn.Key)
	require.NoError(t, err)
	client := w.client(0, kept.BearerToken)
	program, err := client.OpenProgram(ctx, caller.OpenRequest{})
	require.NoError(t, err)
	for _, text := range []string{"first", "second", "third"} {
		_, err := client.SendMessage(ctx, program.ID, model, text)
		require.NoError(t, err)
	}
	booked, err := client.CallService(ctx, program.ID, "bookings", "/book", "booking-1", map[string]string{"stand": "7"})
	require.NoError(t, err)
	before, err := client.ProgramHistory(ctx, program.ID)
	require.NoError(t, err)

	expire(w, platformclient.ProgramsStream, func() *projection.Programs { return &projection.Programs{} }, func(p *projection.Programs) bool {
		for number := range id.SlotCount {
			if p.NeedsSnapshot(id.Slot(number)) {
				return false
			}
		}

		return true
	})
	expire(w, platformclient.ControlStream, func() *projection.Control { return &projection.Control{} }, (*projection.Control).Ready)
	page, _ := f.Log.Store.Read(platformclient.ProgramsStream, 0, time.Now())
	f.Log.Store.SetFaults(logserver.Faults{KeepMillis: 4 * shortRetention.Milliseconds()})
	w.eventually(func() bool {
		page, _ := f.Log.Store.Read(platformclient.ProgramsStream, 0, time.Now())
		control, _ := f.Log.Store.Read(platformclient.ControlStream, 0, time.Now())

		return page.FirstOffset > 0 && control.FirstOffset > published.Version.Offset()
	})
	require.Zero(t, page.FirstOffset)

	w.replaceAll(ctx)
	after, err := w.client(hosts, kept.BearerToken).ProgramHistory(ctx, program.ID)
	require.NoError(t, err)
	require.Equal(t, before.History, after.History)
	require.Equal(t, before.UsedTokens, after.UsedTokens)
	settings, err := w.Operator(hosts).GetSettings(ctx)
	require.NoError(t, err)
	require.Equal(t, published.Version, settings.Version)
	_, err = w.client(hosts, withdrawn.BearerToken).ProgramHistory(ctx, program.ID)
	require.Equal(t, apierror.Unauthenticated, kindOf(err))
	again, err := w.client(hosts, kept.BearerToken).CallService(ctx, program.ID, "bookings", "/book", "booking-1", map[string]string{"stand": "7"})
	require.NoError(t, err)
	require.True(t, again.Replayed)
	require.Equal(t, booked.Body, again.Body)
	// The new owner of the workspace's bucket starts with an empty one.
	w.eventually(func() bool {
		answer, err := w.client(hosts, kept.BearerToken).SendMessage(ctx, program.ID, model, "fourth")
		require.True(t, err == nil || kindOf(err) == apierror.RateLimited, "%v", err)

		return err == nil && answer.Turn == 4
	})
}

// replaceAll starts a host and drains all others.
func (w *world) replaceAll(ctx context.Context) {
	w.t.Helper()
	_, err := w.StartHost(ctx, "host-late", "domain-a", w.opts)
	require.NoError(w.t, err)
	owns := func() int {
		status, err := w.Operator(hosts).GetClusterStatus(ctx)
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
	w.eventually(func() bool { return owns() > 0 })
	for i := range hosts {
		require.NoError(w.t, w.Operator(i).DrainHost(ctx))
	}
	w.eventually(func() bool { return owns() == id.SlotCount })
}
