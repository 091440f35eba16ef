package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"cardamomward/core/apierror"
	"cardamomward/core/projection"
	"cardamomward/core/record"
)

const (
	// appendTimeout bounds one append; without an answer it is in doubt.
	appendTimeout = 2 * time.Second
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 4096
	// maxBatchBytes bounds the payload of one append.
	maxBatchBytes = 4 << 20
	// maxRecordBytes bounds one record.
	maxRecordBytes = maxBatchBytes
	// minRetryPause and maxRetryPause bound the pause after a failed read or append.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 2 * time.Second
)

// result is what became of a record.
type result struct {
	verdict projection.ApplyResult
	err     error
}

// waiter is the caller of Append. Its fields are guarded by the journal's mutex.
type waiter struct {
	done chan result
	// inDoubt is set while the record may be in the log.
	inDoubt bool
}

// queued is an encoded record on its way to the log.
type queued struct {
	id   string
	data []byte
}

// Append adds a record and waits until it has been folded. When ctx ends first, a record that was never sent
// is taken back and the error is a refusal that says not-run; one that may be in the log gives ErrOutage.
func (j *Journal[S]) Append(ctx context.Context, rec *record.Record) (projection.ApplyResult, error) {
	q, err := j.encode(rec)
	if err != nil {
		return projection.ApplyResult{}, err
	}
	w := &waiter{done: make(chan result, 1)}
	j.mu.Lock()
	if j.halted != "" {
		j.mu.Unlock()

		return projection.ApplyResult{}, apierror.New(apierror.LogUnavailable, "this host has left the log: %s", j.halted)
	}
	j.waiting[q.id] = w
	j.mu.Unlock()

	select {
	case j.queue <- q:
	case <-ctx.Done():
		return j.giveUp(ctx, q.id, w)
	}
	select {
	case r := <-w.done:
		return r.verdict, r.err
	case <-ctx.Done():
		return j.giveUp(ctx, q.id, w)
	}
}

// encode stamps a record with where this host has read to; a record that no append could carry is refused.
func (j *Journal[S]) encode(rec *record.Record) (*queued, error) {
	rec.Born = uint64(j.Status().Next)
	data, err := record.EncodeOne(rec)
	if err != nil {
		return nil, apierror.New(apierror.InvalidRequest, "the text cannot be kept: %v", err)
	}
	if len(data) > maxRecordBytes {
		return nil, apierror.New(apierror.TooLarge, "a record of %d bytes is too large for the log; it takes %d", len(data), maxRecordBytes)
	}

	return &queued{id: rec.GetId(), data: data}, nil
}

// giveUp takes a record back; a verdict that has just arrived still counts.
func (j *Journal[S]) giveUp(ctx context.Context, recordID string, w *waiter) (projection.ApplyResult, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.waiting, recordID)
	select {
	case r := <-w.done:
		return r.verdict, r.err
	default:
	}
	if !w.inDoubt {
		return projection.ApplyResult{}, apierror.New(apierror.LogUnavailable, "the log does not take records now").WithRetryAfter(time.Second)
	}

	return projection.ApplyResult{}, ErrOutage.New("record %s is not known to be in the log: %v", recordID, context.Cause(ctx))
}

func (j *Journal[S]) appendLoop(ctx context.Context) {
	for {
		batch := j.collect(ctx)
		if len(batch) == 0 {
			return
		}
		j.appendBatch(ctx, batch)
	}
}

// collect waits for a record and then for more of them, up to the linger and until the next append is due.
func (j *Journal[S]) collect(ctx context.Context) []*queued {
	first := j.held
	j.held = nil
	if first == nil {
		select {
		case <-ctx.Done():
			return nil
		case first = <-j.queue:
		}
	}
	batch, size := []*queued{first}, len(first.data)
	timer := time.NewTimer(max(j.linger, j.pace.wait(time.Now(), j.spacing())))
	defer timer.Stop()
	for len(batch) < maxBatchRecords {
		select {
		case q := <-j.queue:
			if size += len(q.data); size > maxBatchBytes {
				j.held = q

				return batch
			}
			batch = append(batch, q)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}

	return batch
}

// appendBatch appends until the log answers; a second copy after a lost answer is dropped by the fold.
func (j *Journal[S]) appendBatch(ctx context.Context, batch []*queued) {
	pause := newBackOff()
	for ctx.Err() == nil {
		var sent []*waiter
		batch, sent = j.send(batch)
		if len(batch) == 0 {
			return
		}
		j.pace.sent(time.Now())
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := j.log.Append(appendCtx, j.stream, join(batch))
		cancel()
		if err == nil {
			j.pace.accepted()

			return
		}
		j.logger.Info("log-append-failed", "stream", j.stream, "records", len(batch), "error", err)
		sleep(ctx, max(j.refused(sent, err), pause.NextBackOff()))
	}
}

// send marks the records that are still awaited as in doubt and returns them with those that were not in doubt before.
func (j *Journal[S]) send(batch []*queued) (kept []*queued, fresh []*waiter) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, q := range batch {
		w, ok := j.waiting[q.id]
		if !ok {
			continue
		}
		kept = append(kept, q)
		if !w.inDoubt {
			w.inDoubt = true
			fresh = append(fresh, w)
		}
	}

	return kept, fresh
}

// refused clears the doubt where the log says that the append had no effect, and returns how long to wait.
func (j *Journal[S]) refused(sent []*waiter, err error) time.Duration {
	var refused *apierror.Error
	if !errors.As(err, &refused) || refused.Execution != apierror.NotExecuted {
		return 0
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, w := range sent {
		w.inDoubt = false
	}
	if refused.Kind != apierror.RateLimited {
		return 0
	}
	j.pace.rateLimited()

	return refused.RetryAfter/2 + rand.N(refused.RetryAfter/2+1)
}

func join(batch []*queued) []byte {
	size := 0
	for _, q := range batch {
		size += len(q.data)
	}
	data := make([]byte, 0, size)
	for _, q := range batch {
		data = append(data, q.data...)
	}

	return data
}

func newBackOff() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minRetryPause
	pause.MaxInterval = maxRetryPause
	pause.Reset()

	return pause
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
