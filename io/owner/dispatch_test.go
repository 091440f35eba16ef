package owner_test

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
	"cardamomward/io/owner"
)

// room is how many calls an engine takes that has not reported: four slots and two that may wait.
const room = 6

func newDispatcher(upstreams ...id.Upstream) *owner.Dispatcher {
	d := &owner.Dispatcher{}
	d.Pool = &engineclient.Pool{Logger: logr.Discard(), OnCapacityChange: d.Pump, Observer: d}
	svc := &settings.Service{ID: "drafting", Kind: settings.KindEngine}
	for _, name := range upstreams {
		svc.Upstreams = append(svc.Upstreams, settings.Upstream{ID: name, Address: string(name)})
	}
	d.Pool.Configure(&settings.Fleet{Services: map[id.Service]*settings.Service{svc.ID: svc}})

	return d
}

func callOf(program string, urgent bool) owner.Call {
	return owner.Call{Service: "drafting", Item: fairqueue.Item{
		Workspace: id.Workspace("of-" + program), Program: id.Program(program), Urgent: urgent, EstimatedTokens: 100,
	}}
}

// fill takes all room of the only upstream.
func fill(t *testing.T, d *owner.Dispatcher) *engineclient.Upstream {
	t.Helper()
	var u *engineclient.Upstream
	for range room {
		var err error
		u, err = d.Acquire(t.Context(), callOf("filler", false))
		require.NoError(t, err)
	}

	return u
}

func TestAReleasedPlaceGoesToTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher("draft-1")
		u := fill(t, d)
		served := make(chan error)
		go func() {
			_, err := d.Acquire(t.Context(), callOf("waiting", false))
			served <- err
		}()
		synctest.Wait()
		require.Equal(t, 1, d.Waiting()["drafting"])
		d.Release(callOf("filler", false), u, 100)
		require.NoError(t, <-served)
		require.Zero(t, d.Waiting()["drafting"])
	})
}

func TestUrgentCallPassesAFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher("draft-1")
		fill(t, d)
		ctx, cancel := context.WithCancel(t.Context())
		left := make(chan error)
		go func() {
			_, err := d.Acquire(ctx, callOf("waiting", false))
			left <- err
		}()
		synctest.Wait()
		_, err := d.Acquire(t.Context(), callOf("fault", true))
		require.NoError(t, err)
		require.Equal(t, 1, d.Waiting()["drafting"])
		cancel()
		require.ErrorIs(t, <-left, context.Canceled)
		require.Zero(t, d.Waiting()["drafting"], "a call that is given up on leaves the queue")
	})
}

func TestExcludedUpstreamsAreNoPlace(t *testing.T) {
	d := newDispatcher("draft-1", "draft-2")
	call := callOf("retried", false)
	call.Exclude = map[id.Upstream]bool{"draft-1": true}
	for range room {
		u, err := d.Acquire(t.Context(), call)
		require.NoError(t, err)
		require.Equal(t, id.Upstream("draft-2"), u.ID())
	}
	call.Exclude["draft-2"] = true
	_, err := d.Acquire(t.Context(), call)
	var refused *apierror.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, apierror.NoUpstream, refused.Kind)
	require.Positive(t, refused.RetryAfter)
}

func TestACallWithoutTimeLeftIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher("draft-1")
		// One call every five seconds for a minute: then ten calls wait fifty seconds.
		u := fill(t, d)
		ctx, cancel := context.WithCancel(t.Context())
		for range 12 + 10 {
			go d.Acquire(ctx, callOf("waiting", false)) //nolint:errcheck // ends with the test
		}
		synctest.Wait()
		for range 12 {
			time.Sleep(5 * time.Second)
			d.Release(callOf("filler", false), u, 100)
			synctest.Wait()
		}
		require.Equal(t, 10, d.Waiting()["drafting"])
		hurried, stop := context.WithTimeout(t.Context(), 20*time.Second)
		defer stop()
		began := time.Now()
		_, err := d.Acquire(hurried, callOf("late", false))
		var refused *apierror.Error
		require.True(t, errors.As(err, &refused))
		require.Equal(t, apierror.Overloaded, refused.Kind)
		require.Equal(t, apierror.NotExecuted, refused.Execution)
		require.Greater(t, refused.RetryAfter, 10*time.Second)
		require.Zero(t, time.Since(began), "the refusal comes at once")
		cancel()
		synctest.Wait()
	})
}

func TestACallDoesNotWaitForUpstreamsThatOnlyFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher("draft-1")
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for ctx.Err() == nil {
				d.Pool.Upstreams("drafting")[0].RecordFailure(time.Now())
				time.Sleep(100 * time.Millisecond)
			}
		}()
		synctest.Wait()
		began := time.Now()
		_, err := d.Acquire(t.Context(), callOf("patient", false))
		cancel()
		time.Sleep(time.Second)
		refused := apierror.From(err)
		require.Equal(t, apierror.NoUpstream, refused.Kind)
		require.Equal(t, apierror.NotExecuted, refused.Execution)
		require.Positive(t, refused.RetryAfter)
		require.LessOrEqual(t, time.Since(began), 5*time.Second)
		require.Zero(t, d.Waiting()["drafting"])
	})
}
