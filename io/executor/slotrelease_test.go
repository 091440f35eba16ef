package executor

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
	"cardamomward/io/platformclient"
	"cardamomward/standin/logserver"
)

// memoryLog is a log in memory.
type memoryLog struct{ store logserver.Store }

func (l *memoryLog) Append(_ context.Context, stream id.Stream, data []byte) (id.Offset, error) {
	offset, _ := l.store.Append(stream, data, time.Now())

	return offset, nil
}

func (l *memoryLog) Read(ctx context.Context, stream id.Stream, from id.Offset, wait time.Duration) (platformclient.LogPage, error) {
	page, changed := l.store.Read(stream, from, time.Now())
	if len(page.Entries) > 0 {
		return page, nil
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	page, _ = l.store.Read(stream, from, time.Now())

	return page, nil
}

const testSlot id.Slot = 7

// newSlotOwner returns an executor whose host has claimed testSlot.
func newSlotOwner(t *testing.T) *Executor {
	t.Helper()
	journal := platformclient.NewJournal(&projection.Programs{}, platformclient.JournalOptions{
		Log: &memoryLog{}, Stream: platformclient.ProgramsStream, Logger: logr.Discard(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		journal.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	rec := record.New("host-1")
	rec.Body = &recordpb.Record_Claim{Claim: &recordpb.Claim{
		Slots: []uint32{uint32(testSlot)}, Epochs: []uint64{0}, Run: "run-1",
	}}
	result, err := journal.Append(ctx, rec)
	require.NoError(t, err)
	require.True(t, result.Valid())

	return &Executor{Host: "host-1", Incarnation: "run-1", Journal: journal, Logger: logr.Discard()}
}

func TestSlotWithPendingReleaseRefusesCalls(t *testing.T) {
	e := newSlotOwner(t)
	_, release, err := e.acquireSlot(testSlot, time.Now())
	require.NoError(t, err)
	require.False(t, e.BeginSlotRelease(testSlot), "a call is in progress")
	release()
	require.True(t, e.BeginSlotRelease(testSlot))
	_, _, err = e.acquireSlot(testSlot, time.Now())
	require.Equal(t, apierror.OwnerChanged, apierror.From(err).Kind)
	require.Equal(t, apierror.NotExecuted, apierror.From(err).Execution)
	e.EndSlotRelease(testSlot)
	_, release, err = e.acquireSlot(testSlot, time.Now())
	require.NoError(t, err)
	release()
}

func TestSlotOfEarlierProcessRefusesCalls(t *testing.T) {
	e := newSlotOwner(t)
	e.Incarnation = "run-2"
	_, _, err := e.acquireSlot(testSlot, time.Now())
	require.Equal(t, apierror.OwnerChanged, apierror.From(err).Kind)
}
