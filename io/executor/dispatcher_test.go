package executor_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/fairqueue"
	"cardamomward/core/id"
	"cardamomward/core/settings"
	"cardamomward/io/engineclient"
	"cardamomward/io/executor"
)

// engineCapacity is the number of calls that an engine without a load report gets: four running and two queued.
const engineCapacity = 6

func newTestDispatcher(upstreams ...id.Upstream) *executor.Dispatcher {
	d := &executor.Dispatcher{}
	d.Pool = &engineclient.Pool{Logger: logr.Discard(), OnCapacityChange: d.DispatchAll, Observer: d}
	svc := &settings.Service{ID: "drafting", Kind: settings.KindEngine}
	for _, name := range upstreams {
		svc.Upstreams = append(svc.Upstreams, settings.Upstream{ID: name, Address: string(name)})
	}
	d.Pool.Configure(&settings.Fleet{Services: map[id.Service]*settings.Service{svc.ID: svc}})

	return d
}

func newCall(program string, urgent bool) executor.ModelCall {
	return executor.ModelCall{Service: "drafting", QueueItem: fairqueue.Item{
		Workspace: id.Workspace("of-" + program), Program: id.Program(program), Urgent: urgent, EstimatedTokens: 100,
	}}
}

// fillUpstream uses up the capacity of the only upstream.
func fillUpstream(t *testing.T, d *executor.Dispatcher) *engineclient.Upstream {
	t.Helper()
	var u *engineclient.Upstream
	for range engineCapacity {
		var err error
		u, err = d.Acquire(t.Context(), newCall("filler", false))
		require.NoError(t, err)
	}

	return u
}

func TestReleaseAdmitsNextWaitingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher("draft-1")
		u := fillUpstream(t, d)
		served := make(chan error)
		go func() {
			_, err := d.Acquire(t.Context(), newCall("waiting", false))
			served <- err
		}()
		synctest.Wait()
		require.Equal(t, 1, d.WaitingCallCounts()["drafting"])
		d.Release(newCall("filler", false), u, 100)
		require.NoError(t, <-served)
		require.Zero(t, d.WaitingCallCounts()["drafting"])
	})
}

func TestUrgentCallSkipsFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher("draft-1")
		fillUpstream(t, d)
		ctx, cancel := context.WithCancel(t.Context())
		left := make(chan error)
		go func() {
			_, err := d.Acquire(ctx, newCall("waiting", false))
			left <- err
		}()
		synctest.Wait()
		_, err := d.Acquire(t.Context(), newCall("fault", true))
		require.NoError(t, err)
		require.Equal(t, 1, d.WaitingCallCounts()["drafting"])
		cancel()
		require.ErrorIs(t, <-left, context.Canceled)
		require.Zero(t, d.WaitingCallCounts()["drafting"], "a cancelled call leaves the queue")
	})
}

func TestExcludedUpstreamsNotPicked(t *testing.T) {
	d := newTestDispatcher("draft-1", "draft-2")
	call := newCall("retried", false)
	call.ExcludedUpstreams = map[id.Upstream]bool{"draft-1": true}
	for range engineCapacity {
		u, err := d.Acquire(t.Context(), call)
		require.NoError(t, err)
		require.Equal(t, id.Upstream("draft-2"), u.ID())
	}
	call.ExcludedUpstreams["draft-2"] = true
	_, err := d.Acquire(t.Context(), call)
	var apiErr *apierror.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, apierror.NoUpstream, apiErr.Kind)
	require.Positive(t, apiErr.RetryAfter)
}

func TestCallRefusedWhenWaitExceedsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher("draft-1")
		// At one completed call every five seconds, ten waiting calls mean a wait of fifty seconds.
		u := fillUpstream(t, d)
		ctx, cancel := context.WithCancel(t.Context())
		for range 12 + 10 {
			go d.Acquire(ctx, newCall("waiting", false)) //nolint:errcheck // ends with the test
		}
		synctest.Wait()
		for range 12 {
			time.Sleep(5 * time.Second)
			d.Release(newCall("filler", false), u, 100)
			synctest.Wait()
		}
		require.Equal(t, 10, d.WaitingCallCounts()["drafting"])
		shortCtx, cancelShort := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancelShort()
		began := time.Now()
		_, err := d.Acquire(shortCtx, newCall("late", false))
		var apiErr *apierror.Error
		require.True(t, errors.As(err, &apiErr))
		require.Equal(t, apierror.Overloaded, apiErr.Kind)
		require.Equal(t, apierror.NotExecuted, apiErr.Execution)
		require.Greater(t, apiErr.RetryAfter, 10*time.Second)
		require.Zero(t, time.Since(began), "the call is refused without a wait")
		cancel()
		synctest.Wait()
	})
}

func TestCallRefusedWhenAllUpstreamsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher("draft-1")
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for ctx.Err() == nil {
				d.Pool.Upstreams("drafting")[0].RecordFailure(time.Now())
				time.Sleep(100 * time.Millisecond)
			}
		}()
		synctest.Wait()
		began := time.Now()
		_, err := d.Acquire(t.Context(), newCall("patient", false))
		cancel()
		time.Sleep(time.Second)
		apiErr := apierror.From(err)
		require.Equal(t, apierror.NoUpstream, apiErr.Kind)
		require.Equal(t, apierror.NotExecuted, apiErr.Execution)
		require.Positive(t, apiErr.RetryAfter)
		require.LessOrEqual(t, time.Since(began), 5*time.Second)
		require.Zero(t, d.WaitingCallCounts()["drafting"])
	})
}
