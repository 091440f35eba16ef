package owner

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

// storeLog is a log in memory.
type storeLog struct{ store logserver.Store }

func (l *storeLog) Append(_ context.Context, stream id.Stream, data []byte) (id.Offset, error) {
	offset, _ := l.store.Append(stream, data, time.Now())

	return offset, nil
}

func (l *storeLog) Read(ctx context.Context, stream id.Stream, from id.Offset, wait time.Duration) (platformclient.LogPage, error) {
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

const sealedSlot id.Slot = 7

// ownSlot returns an owner whose host has claimed the slot.
func ownSlot(t *testing.T) *Owner {
	t.Helper()
	journal := platformclient.NewJournal(&projection.Programs{}, platformclient.JournalOptions{
		Log: &storeLog{}, Stream: platformclient.ProgramsStream, Logger: logr.Discard(),
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
		Slots: []uint32{uint32(sealedSlot)}, Epochs: []uint64{0}, Run: "run-1",
	}}
	verdict, err := journal.Append(ctx, rec)
	require.NoError(t, err)
	require.True(t, verdict.Valid())

	return &Owner{Host: "host-1", Run: "run-1", Journal: journal, Logger: logr.Discard()}
}

func TestSealedSlotTakesNoCalls(t *testing.T) {
	o := ownSlot(t)
	_, leave, err := o.enter(sealedSlot, time.Now())
	require.NoError(t, err)
	require.False(t, o.Seal(sealedSlot), "a call is under way")
	leave()
	require.True(t, o.Seal(sealedSlot))
	_, _, err = o.enter(sealedSlot, time.Now())
	require.Equal(t, apierror.OwnerChanged, apierror.From(err).Kind)
	require.Equal(t, apierror.NotExecuted, apierror.From(err).Execution)
	o.Unseal(sealedSlot)
	_, leave, err = o.enter(sealedSlot, time.Now())
	require.NoError(t, err)
	leave()
}

func TestSlotOfAnEarlierProcessTakesNoCalls(t *testing.T) {
	o := ownSlot(t)
	o.Run = "run-2"
	_, _, err := o.enter(sealedSlot, time.Now())
	require.Equal(t, apierror.OwnerChanged, apierror.From(err).Kind)
}
