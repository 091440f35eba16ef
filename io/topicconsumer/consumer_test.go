package topicconsumer_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/io/topicconsumer"
	"cardamomward/platform"
	"cardamomward/platform/standin"
)

var partition = platform.Partition{Topic: platform.CompactedTopic("test")}

// consume runs a consumer of the partition until the test ends, and returns the number of records that it has applied.
func consume(t *testing.T, store *standin.Store, longPoll time.Duration) *atomic.Int64 {
	t.Helper()
	applied := &atomic.Int64{}
	consumer := &topicconsumer.Consumer{
		Store: platform.NewStore(store.Listener.Addr().String()), Partition: partition, Logger: logr.Discard(), Now: time.Now,
		LongPoll: longPoll, ApplyRecord: func(platform.Record) { applied.Add(1) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { consumer.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})

	return applied
}

func appendRecord(t *testing.T, store *standin.Store, key string) {
	t.Helper()
	_, err := platform.NewStore(store.Listener.Addr().String()).Append(t.Context(), platform.AppendBatch{
		Partition: partition, Records: []platform.Record{{Key: key, Value: []byte("value")}},
	})
	require.NoError(t, err)
}

func newStore(t *testing.T) *standin.Store {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)

	return store
}

func TestQuietPartitionCostsOneReadEachLongPoll(t *testing.T) {
	store := newStore(t)
	applied := consume(t, store, 3*time.Second)
	time.Sleep(2 * time.Second)
	require.LessOrEqual(t, store.CallCount("/log-read"), 1)
	appendRecord(t, store, "a")
	require.Eventually(t, func() bool { return applied.Load() == 1 }, time.Second, 5*time.Millisecond, "a read that waits ends with the record")
}

// A store that gives no answer holds the reads that have begun for as long as they may take.
func TestEndOfOutageIsNoticedSoonWithLongPolls(t *testing.T) {
	store := newStore(t)
	applied := consume(t, store, time.Second)
	appendRecord(t, store, "a")
	require.Eventually(t, func() bool { return applied.Load() == 1 }, time.Second, 5*time.Millisecond)
	store.SetFaults(standin.Faults{UnansweredReadShare: 1})
	time.Sleep(3 * time.Second)
	store.SetFaults(standin.Faults{})
	appendRecord(t, store, "b")
	require.Eventually(t, func() bool { return applied.Load() == 2 }, 1500*time.Millisecond, 5*time.Millisecond)
}

// newRefreshed runs a consumer with long polls until the test ends, and returns the times up to which it has read.
func newRefreshed(t *testing.T, store *standin.Store) (consumer *topicconsumer.Consumer, appliedUntil *atomic.Pointer[time.Time]) {
	t.Helper()
	appliedUntil = &atomic.Pointer[time.Time]{}
	consumer = &topicconsumer.Consumer{
		Store: platform.NewStore(store.Listener.Addr().String()), Partition: partition, Logger: logr.Discard(), Now: time.Now,
		LongPoll: 10 * time.Second, ReadPause: 10 * time.Second, ApplyRecord: func(platform.Record) {},
		OnApplied: func(until time.Time) { appliedUntil.Store(&until) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { consumer.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	require.Eventually(t, func() bool { return appliedUntil.Load() != nil }, time.Second, time.Millisecond, "the partition is listed")

	return consumer, appliedUntil
}

func TestRefreshEndsPauseAndLongPoll(t *testing.T) {
	store := newStore(t)
	consumer, appliedUntil := newRefreshed(t, store)
	requireRefreshed := func(wait string) {
		t.Helper()
		time.Sleep(300 * time.Millisecond)
		refreshedAt := time.Now()
		consumer.Refresh()
		require.Eventually(t, func() bool { return !appliedUntil.Load().Before(refreshedAt) }, time.Second, time.Millisecond, wait)
	}
	requireRefreshed("the pause after the listing")
	requireRefreshed("the pause after the refresh")
	appendRecord(t, store, "a")
	requireRefreshed("a pause with a record")
}

func TestRefreshesAreNoMoreFrequentThanReads(t *testing.T) {
	store := newStore(t)
	consumer, _ := newRefreshed(t, store)
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		consumer.Refresh()
	}
	require.LessOrEqual(t, store.CallCount("/log-read"), 5)
	require.GreaterOrEqual(t, store.CallCount("/log-read"), 2)
}

func TestReadInProgressDoesNotShowWhatIsWrittenMeanwhile(t *testing.T) {
	store := newStore(t)
	appliedUntil := make(chan time.Time, 100)
	client := platform.NewStore(store.Listener.Addr().String())
	var delay atomic.Int64
	client.RoundTrip = func(ctx context.Context, req platform.StoreRequest) (platform.StoreResponse, error) {
		resp, err := client.RoundTripDirect(ctx, req)
		time.Sleep(time.Duration(delay.Load()))

		return resp, err
	}
	consumer := &topicconsumer.Consumer{
		Store: client, Partition: partition, Logger: logr.Discard(), Now: time.Now,
		LongPoll: 500 * time.Millisecond, ApplyRecord: func(platform.Record) {}, OnApplied: func(until time.Time) { appliedUntil <- until },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { consumer.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	<-appliedUntil
	startedAt := time.Now()
	require.WithinRange(t, <-appliedUntil, startedAt.Add(400*time.Millisecond), time.Now(), "the store has held the read open without a record")
	time.Sleep(200 * time.Millisecond)
	// The response arrives after the time for which the store may hold a read open.
	delay.Store(int64(500 * time.Millisecond))
	appendedAt := time.Now()
	appendRecord(t, store, "a")
	require.WithinRange(t, <-appliedUntil, appendedAt.Add(-250*time.Millisecond), appendedAt.Add(-150*time.Millisecond), "further records may have been written since the read began")
}
