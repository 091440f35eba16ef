package executor_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/standin/engine"
	"cardamomward/standin/logserver"
	"cardamomward/standin/service"
)

func jsonString(text string) string { return fmt.Sprintf("%q", text) }

func TestNonIdempotentCallsRunAtMostOnce(t *testing.T) {
	s := startFleet(t, engine.Config{})
	ctx := t.Context()

	t.Run("answer lost after the effect", func(t *testing.T) {
		var history callHistory
		for _, name := range []id.Service{"bookings", "orders"} {
			s.setServiceFaults(name, service.Faults{LostResponses: 1})
			first := history.call(ctx, s.client(0, "clerks"), name, "lost", jsonString("lost at "+string(name)))
			require.Equal(t, apierror.OutcomeUnknown, apierror.From(first.err).Kind)
			require.Equal(t, apierror.ExecutionUnknown, first.execution())
			s.setServiceFaults(name, service.Faults{})
		}
		second := history.call(ctx, s.client(1, "clerks"), "bookings", "lost", jsonString("lost at bookings"))
		require.Equal(t, apierror.ExecutionUnknown, second.execution(), "the outcome stays unknown if the service cannot be queried")
		for host := range 3 {
			asked := history.call(ctx, s.client(host, "clerks"), "orders", "lost", jsonString("lost at orders"))
			require.NoError(t, asked.err, "the outcome is queried from the service")
			require.True(t, asked.answer.Replayed)
		}
		history.checkAtMostOnce(t, s)
	})

	t.Run("service does not respond", func(t *testing.T) {
		var history callHistory
		s.setServiceFaults("bookings", service.Faults{HoldResponses: true})
		for host := range 3 {
			result := history.call(ctx, s.client(host, "clerks"), "bookings", "hang", jsonString("hang"))
			require.Equal(t, apierror.ExecutionUnknown, result.execution())
		}
		s.setServiceFaults("bookings", service.Faults{})
		require.Equal(t, apierror.ExecutionUnknown, history.call(ctx, s.client(0, "clerks"), "bookings", "hang", jsonString("hang")).execution())
		history.checkAtMostOnce(t, s)
	})

	t.Run("append answers lost", func(t *testing.T) {
		var history callHistory
		for i := range 5 {
			s.LogServer.Store.SetFaults(logserver.Faults{LostAppendResponses: 2})
			result := history.call(ctx, s.client(i%3, "clerks"), "bookings", fmt.Sprintf("append-%d", i), jsonString(fmt.Sprintf("append %d", i)))
			require.NoError(t, result.err)
		}
		s.LogServer.Store.SetFaults(logserver.Faults{})
		history.checkAtMostOnce(t, s)
	})

	t.Run("same key concurrently through all hosts", func(t *testing.T) {
		var history callHistory
		s.setServiceFaults("bookings", service.Faults{ResponseDelayMillis: 50})
		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() { history.call(ctx, s.client(i%3, "clerks"), "bookings", "race", jsonString("race")) })
		}
		group.Wait()
		s.setServiceFaults("bookings", service.Faults{})
		for _, result := range history.results[jsonString("race")] {
			require.NoError(t, result.err)
		}
		history.checkAtMostOnce(t, s)
	})

	t.Run("another body or workspace under the same key", func(t *testing.T) {
		var history callHistory
		require.NoError(t, history.call(ctx, s.client(0, "clerks"), "bookings", "reuse", jsonString("one")).err)
		other := history.call(ctx, s.client(1, "clerks"), "bookings", "reuse", jsonString("two"))
		require.Equal(t, apierror.IdempotencyKeyReused, apierror.From(other.err).Kind)
		require.NoError(t, history.call(ctx, s.client(1, "crews"), "bookings", "reuse", jsonString("three")).err)
		history.checkAtMostOnce(t, s)
		require.Zero(t, s.effectCount("bookings", jsonString("two")))
	})

	t.Run("caller disconnects", func(t *testing.T) {
		var history callHistory
		s.setServiceFaults("bookings", service.Faults{ResponseDelayMillis: 300})
		cancelledCtx, cancel := context.WithCancel(ctx)
		var group sync.WaitGroup
		group.Go(func() { history.call(cancelledCtx, s.client(2, "clerks"), "bookings", "gone", jsonString("gone")) })
		require.Eventually(t, func() bool { return s.effectCount("bookings", jsonString("gone")) == 1 }, testTimeout, time.Millisecond)
		cancel()
		group.Wait()
		s.setServiceFaults("bookings", service.Faults{})
		result := history.call(ctx, s.client(0, "clerks"), "bookings", "gone", jsonString("gone"))
		require.NoError(t, result.err, "the outcome is kept although nobody waited for it")
		require.True(t, result.answer.Replayed)
		history.checkAtMostOnce(t, s)
	})

	t.Run("program of another workspace, or ended", func(t *testing.T) {
		program, err := s.client(0, "clerks").OpenProgram(ctx, openRequest("mine"))
		require.NoError(t, err)
		_, err = s.client(1, "crews").CallService(ctx, program.ID, "bookings", "do", "foreign", rawJSON(jsonString("foreign")))
		require.Equal(t, apierror.NotFound, apierror.From(err).Kind)
		_, err = s.client(2, "clerks").CallService(ctx, program.ID, "bookings", "do", "mine", rawJSON(jsonString("mine")))
		require.NoError(t, err)
		_, err = s.client(0, "clerks").EndProgram(ctx, program.ID)
		require.NoError(t, err)
		for host := range 3 {
			_, err = s.client(host, "clerks").CallService(ctx, program.ID, "bookings", "do", "late", rawJSON(jsonString("late")))
			require.ErrorContains(t, err, string(apierror.ProgramEnded))
			require.Equal(t, apierror.NotExecuted, apierror.From(err).Execution)
		}
		require.Zero(t, s.effectCount("bookings", jsonString("late")))
		require.Zero(t, s.effectCount("bookings", jsonString("foreign")))
	})

	t.Run("calls are spread over the upstreams", func(t *testing.T) {
		for i := range 12 {
			_, err := s.client(0, "clerks").CallService(ctx, "", "lookup", "do", "", rawJSON(jsonString(fmt.Sprintf("spread %d", i))))
			require.NoError(t, err)
		}
		require.NotEmpty(t, s.Services["lookup-1"].Effects())
		require.NotEmpty(t, s.Services["lookup-2"].Effects())
	})
}

// The owner of a call's key may not have read the end of its program yet. The log holds the end before the intent of the call, which
// its owner has read when it would send the call.
func TestCallIsNotSentIfItsProgramEndedBeforeItsIntent(t *testing.T) {
	const appendDelay = time.Second
	s := startFleet(t, engine.Config{})
	ctx := t.Context()
	program, err := s.client(0, "clerks").OpenProgram(ctx, openRequest("ending"))
	require.NoError(t, err)
	_, err = s.client(1, "clerks").CallService(ctx, program.ID, "bookings", "do", "early", rawJSON(jsonString("early")))
	require.NoError(t, err, "the program is open")

	s.LogServer.Store.SetFaults(logserver.Faults{ResponseDelayMillis: appendDelay.Milliseconds()})
	var group sync.WaitGroup
	group.Go(func() {
		_, err := s.client(0, "clerks").EndProgram(ctx, program.ID)
		assert.NoError(t, err)
	})
	time.Sleep(appendDelay / 4)
	_, err = s.client(1, "clerks").CallService(ctx, program.ID, "bookings", "do", "late", rawJSON(jsonString("late")))
	require.ErrorContains(t, err, string(apierror.ProgramEnded))
	require.Equal(t, apierror.NotExecuted, apierror.From(err).Execution)
	group.Wait()
	s.LogServer.Store.SetFaults(logserver.Faults{})
	require.Zero(t, s.effectCount("bookings", jsonString("late")))
}

func TestCallTriesNextUpstreamOnlyIfNotSent(t *testing.T) {
	s := startFleet(t, engine.Config{})
	ctx := t.Context()
	var history callHistory
	require.NoError(t, s.Services["bookings-1"].Close(ctx))
	for i := range 6 {
		result := history.call(ctx, s.client(i%3, "clerks"), "bookings", fmt.Sprintf("half-%d", i), jsonString(fmt.Sprintf("half %d", i)))
		require.NoError(t, result.err)
	}
	require.NoError(t, s.Services["orders-1"].Close(ctx))
	for range 2 {
		result := history.call(ctx, s.client(0, "clerks"), "orders", "dead", jsonString("dead"))
		require.Equal(t, apierror.UpstreamFailed, apierror.From(result.err).Kind, "the key is free again")
		require.Equal(t, apierror.NotExecuted, result.execution())
	}
	history.checkAtMostOnce(t, s)
}

func TestCallsDuringLogOutageRunAtMostOnce(t *testing.T) {
	s := startFleet(t, engine.Config{})
	ctx := t.Context()
	var history callHistory

	// An outage before the intent: the call is refused as not executed, and its key works afterwards.
	s.LogServer.Store.SetFaults(logserver.Faults{Down: true})
	result := history.call(ctx, s.client(0, "clerks"), "bookings", "before", jsonString("before"))
	require.Equal(t, apierror.NotExecuted, result.execution())
	s.LogServer.Store.SetFaults(logserver.Faults{})
	require.Eventually(t, func() bool {
		return history.call(ctx, s.client(1, "clerks"), "bookings", "before", jsonString("before")).err == nil
	}, testTimeout, 50*time.Millisecond)

	// An outage between the send and the outcome: the caller gets the answer, and so do later callers.
	s.setServiceFaults("bookings", service.Faults{HoldResponses: true})
	var group sync.WaitGroup
	group.Go(func() {
		// A host that has not read from the log again yet refuses the call as not executed.
		last := history.call(ctx, s.client(0, "clerks"), "bookings", "after", jsonString("after"))
		for last.execution() == apierror.NotExecuted && ctx.Err() == nil {
			last = history.call(ctx, s.client(0, "clerks"), "bookings", "after", jsonString("after"))
		}
		assert.NoError(t, last.err)
	})
	require.Eventually(t, func() bool { return s.effectCount("bookings", jsonString("after")) == 1 }, testTimeout, time.Millisecond)
	s.LogServer.Store.SetFaults(logserver.Faults{Down: true})
	s.setServiceFaults("bookings", service.Faults{})
	group.Wait()
	s.LogServer.Store.SetFaults(logserver.Faults{})
	require.Eventually(t, func() bool {
		return history.call(ctx, s.client(2, "clerks"), "bookings", "after", jsonString("after")).err == nil
	}, testTimeout, 50*time.Millisecond)
	history.checkAtMostOnce(t, s)
}

func TestTakeoverOfIntentWithoutOutcomeDoesNotResend(t *testing.T) {
	s := startFleet(t, engine.Config{})
	ctx := t.Context()
	var history callHistory
	key := "orphan"
	killed := s.slotOwnerIndex(t, id.CallSlot("clerks", key))
	survivor := s.client((killed+1)%3, "clerks")
	for _, name := range []id.Service{"bookings", "orders"} {
		s.setServiceFaults(name, service.Faults{HoldResponses: true})
	}
	var group sync.WaitGroup
	for _, name := range []id.Service{"bookings", "orders"} {
		group.Go(func() { history.call(ctx, survivor, name, key, jsonString("orphan of "+string(name))) })
	}
	require.Eventually(t, func() bool {
		return s.effectCount("bookings", jsonString("orphan of bookings"))+s.effectCount("orders", jsonString("orphan of orders")) == 2
	}, testTimeout, time.Millisecond)
	s.KillHost(killed)
	group.Wait()
	for _, name := range []id.Service{"bookings", "orders"} {
		s.setServiceFaults(name, service.Faults{})
	}
	var last callResult
	require.Eventually(t, func() bool {
		last = history.call(ctx, survivor, "orders", key, jsonString("orphan of orders"))

		return last.err == nil
	}, testTimeout, 100*time.Millisecond, "the next owner queries the service")
	require.True(t, last.answer.Replayed)
	last = history.call(ctx, survivor, "bookings", key, jsonString("orphan of bookings"))
	require.Equal(t, apierror.OutcomeUnknown, apierror.From(last.err).Kind, "the next owner cannot query the service and does not send the call")
	history.checkAtMostOnce(t, s)
}

func TestDrainDuringCallKeepsOutcome(t *testing.T) {
	s := startFleet(t, engine.Config{})
	ctx := t.Context()
	var history callHistory
	key := "drained"
	leaving := s.slotOwnerIndex(t, id.CallSlot("clerks", key))
	s.setServiceFaults("bookings", service.Faults{ResponseDelayMillis: 500})
	var group sync.WaitGroup
	group.Go(func() {
		require.NoError(t, history.call(ctx, s.client(leaving, "clerks"), "bookings", key, jsonString(key)).err)
	})
	require.Eventually(t, func() bool { return s.effectCount("bookings", jsonString(key)) == 1 }, testTimeout, time.Millisecond)
	s.Hosts[leaving].StartDrain()
	group.Wait()
	result := history.call(ctx, s.client((leaving+1)%3, "clerks"), "bookings", key, jsonString(key))
	require.NoError(t, result.err)
	require.True(t, result.answer.Replayed)
	history.checkAtMostOnce(t, s)
}
