package fleet

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
	// producer names the owner of a slot in its partition; epochs tell owners apart.
	producer = "owner"
	// linger is how long a record that nobody waits for yet waits for others to share its call.
	linger = 100 * time.Millisecond
	// urgentLinger is how long a record that somebody waits for does.
	urgentLinger = 3 * time.Millisecond
	// writeRetry paces writes while the store refuses them.
	writeRetry = 40 * time.Millisecond
	// maxBatch bounds the records of one call, in bytes, so that a slow link carries it soon.
	maxBatch = 256 << 10
	// recordOverhead is room for the length of a record, in bytes.
	recordOverhead = 8
)

// entry is a record on its way to the store.
type entry struct {
	record platform.Record
	// done is told when the record is durable, with the slot's lock held; it may be nil.
	done func()
	// turn is the turn that the record keeps, if any.
	turn *fleetpb.KeptTurn
}

// writer makes the records of a slot durable, in order, several in a call.
type writer struct {
	slot *slot

	mu       sync.Mutex
	epoch    int64
	sequence int64
	queue    []entry
	// batched are the records of the call that is under way.
	batched []entry
	urgent  bool
	// failing is since when writes have had no answer; it is zero while they have.
	failing time.Time
	wake    chan struct{}
}

func newWriter(s *slot) *writer { return &writer{slot: s, wake: make(chan struct{}, 1)} }

// start begins an epoch.
func (w *writer) start(epoch int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch, w.sequence = epoch, 0
}

// reset drops what was not written, because the slot is no longer owned, and returns it.
func (w *writer) reset() []entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	dropped := slices.Concat(w.batched, w.queue)
	w.epoch, w.queue, w.batched, w.urgent, w.failing = 0, nil, nil, false, time.Time{}

	return dropped
}

// add queues a record; urgent ones are written at once.
func (w *writer) add(e entry, urgent bool) {
	w.mu.Lock()
	w.queue = append(w.queue, e)
	w.urgent = w.urgent || urgent
	w.mu.Unlock()
	if urgent {
		w.signal()
	}
}

func (w *writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *writer) pending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return len(w.queue)+len(w.batched) > 0
}

// run writes until ctx ends.
func (w *writer) run(ctx context.Context) {
	ticker := time.NewTicker(linger)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.wake:
			topicconsumer.SleepContext(ctx, urgentLinger)
		}
		w.drain(ctx)
	}
}

// drain writes batches until the queue is empty or the slot is lost.
func (w *writer) drain(ctx context.Context) {
	for ctx.Err() == nil {
		batch, size, call := w.batch()
		if len(batch) == 0 {
			return
		}
		if !w.write(ctx, batch, size, call) {
			return
		}
	}
}

// batch takes as many records as one call holds.
func (w *writer) batch() (batch []entry, size int, call platform.Append) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epoch == 0 || len(w.queue) == 0 {
		w.batched = nil

		return nil, 0, platform.Append{}
	}
	limit := maxBatch
	if most := w.slot.fleet.Settings.Store.CallBytes; most > 0 {
		limit = min(limit, most)
	}
	n := 0
	for ; n < len(w.queue); n++ {
		next := platform.RecordSize(w.queue[n].record) + recordOverhead
		if n > 0 && size+next > limit {
			break
		}
		size += next
	}
	batch = w.queue[:n:n]
	w.queue = w.queue[n:]
	w.batched, w.urgent = batch, false
	w.sequence++
	call = platform.Append{
		Partition: w.slot.partition(), Producer: producer, Epoch: w.epoch, Sequence: w.sequence,
		Records: make([]platform.Record, 0, n),
	}
	for _, e := range batch {
		call.Records = append(call.Records, e.record)
	}

	return batch, size, call
}

// write repeats one call until it is answered; the same sequence number makes a repeat harmless. It reports false
// where the slot is lost.
func (w *writer) write(ctx context.Context, batch []entry, size int, call platform.Append) bool {
	for ctx.Err() == nil && w.current(call.Epoch) {
		err := w.slot.fleet.callWith(ctx, size, func(ctx context.Context) error {
			_, err := w.slot.fleet.store.Append(ctx, call)

			return err
		})
		w.note(err == nil)
		if err == nil {
			w.slot.written(call.Epoch, batch)

			return true
		}
		w.slot.fleet.Logger.Error(err, "write-failed", "slot", w.slot.index, "epoch", call.Epoch, "records", len(batch))
		if errorx.IsOfType(err, platform.ErrFenced) || errorx.IsOfType(err, platform.ErrSequence) {
			w.slot.release("fenced")
			w.slot.fleet.rejoin.Store(true)

			return false
		}
		topicconsumer.SleepContext(ctx, writeRetry)
	}

	return false
}

func (w *writer) note(answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case answered:
		w.failing = time.Time{}
	case w.failing.IsZero():
		w.failing = w.slot.fleet.Now()
	}
}

// stuck reports whether the slot's partition has not taken writes for a while: parts of the store fail by themselves.
func (w *writer) stuck(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return !w.failing.IsZero() && now.Sub(w.failing) > contactLimit
}

func (w *writer) current(epoch int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.epoch == epoch
}

// written tells those that wait for a batch.
func (s *slot) written(epoch int64, batch []entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == idle || s.epoch != epoch {
		return
	}
	for _, e := range batch {
		if e.done != nil {
			e.done()
		}
	}
	s.notify()
}
