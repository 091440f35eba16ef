package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/topicconsumer"
	"cardamomward/platform"
)

const (
	// ownerProducer is the producer name of a slot's owner in its partition; owners differ by epoch.
	ownerProducer = "owner"
	// writeLinger is the batching delay of a record that no request waits for.
	writeLinger = 100 * time.Millisecond
	// urgentWriteLinger is the same for a record that a request waits for.
	urgentWriteLinger = 3 * time.Millisecond
	// writeRetryInterval is the retry interval of failed writes.
	writeRetryInterval = 40 * time.Millisecond
	// maxBatchBytes bounds the records of one call, so that it does not take long on a slow link.
	maxBatchBytes = 256 << 10
	// recordOverheadBytes is the space for a record's length prefix.
	recordOverheadBytes = 8
)

// pendingRecord is a record that is not durable yet.
type pendingRecord struct {
	record platform.Record
	// onDurable is called when the record is durable, with the slot's lock held; it may be nil.
	onDurable func()
	// turn is the turn that the record contains, or nil.
	turn *fleetpb.KeptTurn
}

// recordWriter writes the records of a slot to the store in order and in batches.
type recordWriter struct {
	slot *slot

	mu       sync.Mutex
	epoch    int64
	sequence int64
	// endOffset is the end of the partition after the records that were read and written in this epoch.
	endOffset int64
	// confirmedAt is when the newest batch was first sent that the store appended directly behind the records of this epoch: no
	// other owner had written then, and the store takes no batch of an earlier epoch.
	confirmedAt time.Time
	queue       []pendingRecord
	// inFlight are the records of the call in progress.
	inFlight  []pendingRecord
	hasUrgent bool
	// failingSince is the start time of the present failures of writes; zero if the last one succeeded.
	failingSince time.Time
	wakeSignal   chan struct{}
}

func newRecordWriter(s *slot) *recordWriter {
	return &recordWriter{slot: s, wakeSignal: make(chan struct{}, 1)}
}

// startEpoch starts writing in an epoch, with new sequence numbers; the partition was read up to endOffset.
func (w *recordWriter) startEpoch(epoch, endOffset int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch, w.sequence, w.endOffset, w.confirmedAt = epoch, 0, endOffset, time.Time{}
}

// advanceEnd records that a batch of the current epoch, which was first sent at a time, has been written at an offset.
func (w *recordWriter) advanceEnd(epoch, offset int64, records int, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epoch != epoch {
		return
	}
	if offset == w.endOffset {
		w.confirmedAt = sentAt
	}
	w.endOffset = offset + int64(records)
}

// isConfirmedSince reports whether a write that began at a time or later showed that no other owner has written.
func (w *recordWriter) isConfirmedSince(since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.epoch != 0 && !w.confirmedAt.Before(since)
}

// snapshot returns the current epoch, the end of the partition as far as this writer knows, and the records that it may
// have appended since.
func (w *recordWriter) snapshot() (epoch, endOffset int64, inFlight []pendingRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.epoch, w.endOffset, w.inFlight
}

// discardPending stops writing because the slot is no longer owned, and returns the records that are not known to be
// durable.
func (w *recordWriter) discardPending() []pendingRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	dropped := slices.Concat(w.inFlight, w.queue)
	w.epoch, w.queue, w.inFlight, w.hasUrgent, w.failingSince = 0, nil, nil, false, time.Time{}

	return dropped
}

// enqueue queues a record; an urgent one is written after urgentWriteLinger.
func (w *recordWriter) enqueue(pending pendingRecord, urgent bool) {
	w.mu.Lock()
	w.queue = append(w.queue, pending)
	w.hasUrgent = w.hasUrgent || urgent
	w.mu.Unlock()
	if urgent {
		w.wakeUp()
	}
}

func (w *recordWriter) wakeUp() {
	select {
	case w.wakeSignal <- struct{}{}:
	default:
	}
}

func (w *recordWriter) hasPending() bool {
	return len(w.pendingRecords()) > 0
}

// pendingRecords returns the records that are not known to be durable.
func (w *recordWriter) pendingRecords() []pendingRecord {
	w.mu.Lock()
	defer w.mu.Unlock()

	return slices.Concat(w.inFlight, w.queue)
}

// run writes queued records until ctx ends.
func (w *recordWriter) run(ctx context.Context) {
	ticker := time.NewTicker(writeLinger)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.wakeSignal:
			topicconsumer.SleepContext(ctx, urgentWriteLinger)
		}
		w.writeQueued(ctx)
	}
}

// writeQueued writes batches until the queue is empty or the slot is lost.
func (w *recordWriter) writeQueued(ctx context.Context) {
	for ctx.Err() == nil {
		batch, size, call := w.takeBatch()
		if len(batch) == 0 {
			return
		}
		if !w.writeBatch(ctx, batch, size, call) {
			return
		}
	}
}

// takeBatch takes as many records from the queue as one call may contain.
func (w *recordWriter) takeBatch() (batch []pendingRecord, size int, call platform.AppendBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epoch == 0 || len(w.queue) == 0 {
		w.inFlight = nil

		return nil, 0, platform.AppendBatch{}
	}
	limit := maxBatchBytes
	if maxCallBytes := w.slot.cluster.Settings.Store.MaxCallBytes; maxCallBytes > 0 {
		limit = min(limit, maxCallBytes)
	}
	n := 0
	for ; n < len(w.queue); n++ {
		next := platform.RecordSize(w.queue[n].record) + recordOverheadBytes
		if n > 0 && size+next > limit {
			break
		}
		size += next
	}
	batch = w.queue[:n:n]
	w.queue = w.queue[n:]
	w.inFlight, w.hasUrgent = batch, false
	w.sequence++
	call = platform.AppendBatch{
		Partition: w.slot.partition(), Producer: ownerProducer, Epoch: w.epoch, Sequence: w.sequence,
		Records: make([]platform.Record, 0, n),
	}
	for _, pending := range batch {
		call.Records = append(call.Records, pending.record)
	}

	return batch, size, call
}

// writeBatch retries a call until it succeeds; its sequence number makes retries idempotent. It returns false if the
// slot was lost or ctx ended.
func (w *recordWriter) writeBatch(ctx context.Context, batch []pendingRecord, size int, call platform.AppendBatch) bool {
	sentAt := w.slot.cluster.Now()
	for ctx.Err() == nil && w.isCurrentEpoch(call.Epoch) {
		var offset int64
		err := w.slot.cluster.callStoreWithSize(ctx, size, func(ctx context.Context) (err error) {
			offset, err = w.slot.cluster.store.Append(ctx, call)

			return err
		})
		if !w.recordWriteResult(call.Epoch, err == nil) {
			return false
		}
		if err == nil {
			w.advanceEnd(call.Epoch, offset, len(batch), sentAt)
			w.slot.completeBatch(call.Epoch, batch)

			return true
		}
		w.slot.cluster.Logger.Error(err, "write-failed", "slot", w.slot.index, "epoch", call.Epoch, "records", len(batch))
		if errorx.IsOfType(err, platform.ErrFenced) || errorx.IsOfType(err, platform.ErrOutOfSequence) {
			w.slot.releaseFenced(call.Epoch)

			return false
		}
		topicconsumer.SleepContext(ctx, writeRetryInterval)
	}

	return false
}

// recordWriteResult tracks since when writes of the current epoch have failed. It returns false if the slot was released
// since the write began: its result does not concern the next epoch.
func (w *recordWriter) recordWriteResult(epoch int64, succeeded bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.epoch != epoch:
		return false
	case succeeded:
		w.failingSince = time.Time{}
	case w.failingSince.IsZero():
		w.failingSince = w.slot.cluster.Now()
	}

	return true
}

// isStuck reports whether writes to the slot's partition have failed for storeContactTimeout: single partitions of the
// store can fail.
func (w *recordWriter) isStuck(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return !w.failingSince.IsZero() && now.Sub(w.failingSince) > storeContactTimeout
}

// lastFailureStart returns since when writes have failed; zero if the last one succeeded.
func (w *recordWriter) lastFailureStart() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.failingSince
}

func (w *recordWriter) isCurrentEpoch(epoch int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.epoch == epoch
}

// completeBatch runs the callbacks of a durable batch.
func (s *slot) completeBatch(epoch int64, batch []pendingRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == unowned || s.epoch != epoch {
		return
	}
	for _, pending := range batch {
		if pending.onDurable != nil {
			pending.onDurable()
		}
	}
	s.notifyChanged()
}
