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
