package owner_test

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

func body(text string) string { return fmt.Sprintf("%q", text) }

func TestCallsThatMustNotBeRepeated(t *testing.T) {
	s := startSystem(t, engine.Config{})
	ctx := t.Context()

	t.Run("answer lost after the effect", func(t *testing.T) {
		var l ledger
		for _, name := range []id.Service{"bookings", "orders"} {
			s.serviceFaults(name, service.Faults{LoseAnswers: 1})
			first := l.call(ctx, s.client(0, "clerks"), name, "lost", body("lost at "+string(name)))
			require.Equal(t, apierror.OutcomeUnknown, apierror.From(first.err).Kind)
			require.Equal(t, apierror.ExecutionUnknown, first.ran())
			s.serviceFaults(name, service.Faults{})
		}
		second := l.call(ctx, s.client(1, "clerks"), "bookings", "lost", body("lost at bookings"))
		require.Equal(t, apierror.ExecutionUnknown, second.ran(), "a service that can't be asked leaves the outcome unknown")
		for host := range 3 {
			asked := l.call(ctx, s.client(host, "clerks"), "orders", "lost", body("lost at orders"))
			require.NoError(t, asked.err, "a service that knows its outcomes is asked")
			require.True(t, asked.answer.Replayed)
		}
		l.check(t, s)
	})

	t.Run("hang", func(t *testing.T) {
		var l ledger
		s.serviceFaults("bookings", service.Faults{Hang: true})
		for host := range 3 {
			a := l.call(ctx, s.client(host, "clerks"), "bookings", "hang", body("hang"))
			require.Equal(t, apierror.ExecutionUnknown, a.ran())
		}
		s.serviceFaults("bookings", service.Faults{})
		require.Equal(t, apierror.ExecutionUnknown, l.call(ctx, s.client(0, "clerks"), "bookings", "hang", body("hang")).ran())
		l.check(t, s)
	})

	t.Run("append answers lost", func(t *testing.T) {
		var l ledger
		for i := range 5 {
			s.Log.Store.SetFaults(logserver.Faults{LoseAnswers: 2})
			a := l.call(ctx, s.client(i%3, "clerks"), "bookings", fmt.Sprintf("append-%d", i), body(fmt.Sprintf("append %d", i)))
			require.NoError(t, a.err)
		}
		s.Log.Store.SetFaults(logserver.Faults{})
		l.check(t, s)
	})

	t.Run("same key concurrently through all hosts", func(t *testing.T) {
		var l ledger
		s.serviceFaults("bookings", service.Faults{SlowMillis: 50})
		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() { l.call(ctx, s.client(i%3, "clerks"), "bookings", "race", body("race")) })
		}
		group.Wait()
		s.serviceFaults("bookings", service.Faults{})
		for _, a := range l.attempts[body("race")] {
			require.NoError(t, a.err)
		}
		l.check(t, s)
	})

	t.Run("another body or workspace under the same key", func(t *testing.T) {
		var l ledger
		require.NoError(t, l.call(ctx, s.client(0, "clerks"), "bookings", "reuse", body("one")).err)
		other := l.call(ctx, s.client(1, "clerks"), "bookings", "reuse", body("two"))
		require.Equal(t, apierror.IdempotencyKeyReused, apierror.From(other.err).Kind)
		require.NoError(t, l.call(ctx, s.client(1, "crews"), "bookings", "reuse", body("three")).err)
		l.check(t, s)
		require.Zero(t, s.effects("bookings", body("two")))
	})

	t.Run("caller goes away", func(t *testing.T) {
		var l ledger
		s.serviceFaults("bookings", service.Faults{SlowMillis: 300})
		gone, cancel := context.WithCancel(ctx)
		var group sync.WaitGroup
		group.Go(func() { l.call(gone, s.client(2, "clerks"), "bookings", "gone", body("gone")) })
		require.Eventually(t, func() bool { return s.effects("bookings", body("gone")) == 1 }, awaitFor, time.Millisecond)
		cancel()
		group.Wait()
		s.serviceFaults("bookings", service.Faults{})
		a := l.call(ctx, s.client(0, "clerks"), "bookings", "gone", body("gone"))
		require.NoError(t, a.err, "the outcome is kept although nobody waited for it")
		require.True(t, a.answer.Replayed)
		l.check(t, s)
	})

	t.Run("program of another workspace, or ended", func(t *testing.T) {
		mine, err := s.client(0, "clerks").Open(ctx, openRequest("mine"))
		require.NoError(t, err)
		_, err = s.client(1, "crews").Call(ctx, mine.Program, "bookings", "do", "foreign", rawJSON(body("foreign")))
		require.Equal(t, apierror.NotFound, apierror.From(err).Kind)
		_, err = s.client(2, "clerks").Call(ctx, mine.Program, "bookings", "do", "mine", rawJSON(body("mine")))
		require.NoError(t, err)
		_, err = s.client(0, "clerks").End(ctx, mine.Program)
		require.NoError(t, err)
		require.Eventually(t, func() bool {
			_, err = s.client(1, "clerks").Call(ctx, mine.Program, "bookings", "do", "late", rawJSON(body("late")))

			return apierror.From(err).Kind == apierror.ProgramEnded
		}, awaitFor, 10*time.Millisecond)
		require.Zero(t, s.effects("bookings", body("foreign")))
	})

	t.Run("calls are spread over the upstreams", func(t *testing.T) {
		for i := range 12 {
			_, err := s.client(0, "clerks").Call(ctx, "", "lookup", "do", "", rawJSON(body(fmt.Sprintf("spread %d", i))))
			require.NoError(t, err)
		}
		require.NotEmpty(t, s.Services["lookup-1"].Effects())
		require.NotEmpty(t, s.Services["lookup-2"].Effects())
	})
}

func TestCallIsTriedElsewhereOnlyWhereItWasNeverConnected(t *testing.T) {
	s := startSystem(t, engine.Config{})
	ctx := t.Context()
	var l ledger
	require.NoError(t, s.Services["bookings-1"].Close(ctx))
	for i := range 6 {
		a := l.call(ctx, s.client(i%3, "clerks"), "bookings", fmt.Sprintf("half-%d", i), body(fmt.Sprintf("half %d", i)))
		require.NoError(t, a.err)
	}
	require.NoError(t, s.Services["orders-1"].Close(ctx))
	for range 2 {
		a := l.call(ctx, s.client(0, "clerks"), "orders", "dead", body("dead"))
		require.Equal(t, apierror.UpstreamFailed, apierror.From(a.err).Kind, "the key is free again")
		require.Equal(t, apierror.NotExecuted, a.ran())
	}
	l.check(t, s)
}

func TestCallsWhileTheLogIsDown(t *testing.T) {
	s := startSystem(t, engine.Config{})
	ctx := t.Context()
	var l ledger

	// Down before the intent: refused as not run, and the same key works afterwards.
	s.Log.Store.SetFaults(logserver.Faults{Down: true})
	a := l.call(ctx, s.client(0, "clerks"), "bookings", "before", body("before"))
	require.Equal(t, apierror.NotExecuted, a.ran())
	s.Log.Store.SetFaults(logserver.Faults{})
	require.Eventually(t, func() bool {
		return l.call(ctx, s.client(1, "clerks"), "bookings", "before", body("before")).err == nil
	}, awaitFor, 50*time.Millisecond)

	// Down between the send and the outcome: the caller has its answer, and so has whoever comes again.
	s.serviceFaults("bookings", service.Faults{Hang: true})
	var group sync.WaitGroup
	group.Go(func() {
		// A host that has not heard from the log again yet refuses as not run.
		last := l.call(ctx, s.client(0, "clerks"), "bookings", "after", body("after"))
		for last.ran() == apierror.NotExecuted && ctx.Err() == nil {
			last = l.call(ctx, s.client(0, "clerks"), "bookings", "after", body("after"))
		}
		assert.NoError(t, last.err)
	})
	require.Eventually(t, func() bool { return s.effects("bookings", body("after")) == 1 }, awaitFor, time.Millisecond)
	s.Log.Store.SetFaults(logserver.Faults{Down: true})
	s.serviceFaults("bookings", service.Faults{})
	group.Wait()
	s.Log.Store.SetFaults(logserver.Faults{})
	require.Eventually(t, func() bool {
		return l.call(ctx, s.client(2, "clerks"), "bookings", "after", body("after")).err == nil
	}, awaitFor, 50*time.Millisecond)
	l.check(t, s)
}

func TestTakeoverFindsAnIntentWithoutOutcome(t *testing.T) {
	s := startSystem(t, engine.Config{})
	ctx := t.Context()
	var l ledger
	key := "orphan"
	dead := s.ownerOf(t, id.CallSlot("clerks", key))
	entry := s.client((dead+1)%3, "clerks")
	for _, name := range []id.Service{"bookings", "orders"} {
		s.serviceFaults(name, service.Faults{Hang: true})
	}
	var group sync.WaitGroup
	for _, name := range []id.Service{"bookings", "orders"} {
		group.Go(func() { l.call(ctx, entry, name, key, body("orphan of "+string(name))) })
	}
	require.Eventually(t, func() bool {
		return s.effects("bookings", body("orphan of bookings"))+s.effects("orders", body("orphan of orders")) == 2
	}, awaitFor, time.Millisecond)
	s.Kill(dead)
	group.Wait()
	for _, name := range []id.Service{"bookings", "orders"} {
		s.serviceFaults(name, service.Faults{})
	}
	var last attempt
	require.Eventually(t, func() bool {
		last = l.call(ctx, entry, "orders", key, body("orphan of orders"))

		return last.err == nil
	}, awaitFor, 100*time.Millisecond, "the next owner asks the service")
	require.True(t, last.answer.Replayed)
	last = l.call(ctx, entry, "bookings", key, body("orphan of bookings"))
	require.Equal(t, apierror.OutcomeUnknown, apierror.From(last.err).Kind, "the next owner can't ask and does not send")
	l.check(t, s)
}

func TestDrainDuringACall(t *testing.T) {
	s := startSystem(t, engine.Config{})
	ctx := t.Context()
	var l ledger
	key := "drained"
	leaving := s.ownerOf(t, id.CallSlot("clerks", key))
	s.serviceFaults("bookings", service.Faults{SlowMillis: 500})
	var group sync.WaitGroup
	group.Go(func() {
		require.NoError(t, l.call(ctx, s.client(leaving, "clerks"), "bookings", key, body(key)).err)
	})
	require.Eventually(t, func() bool { return s.effects("bookings", body(key)) == 1 }, awaitFor, time.Millisecond)
	s.Hosts[leaving].StartDrain()
	group.Wait()
	a := l.call(ctx, s.client((leaving+1)%3, "clerks"), "bookings", key, body(key))
	require.NoError(t, a.err)
	require.True(t, a.answer.Replayed)
	l.check(t, s)
}
