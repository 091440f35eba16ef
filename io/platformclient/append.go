package platformclient

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
	// appendTimeout bounds one append; after it, the effect of the append is unknown.
	appendTimeout = 2 * time.Second
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 4096
	// maxBatchBytes bounds the payload of one append.
	maxBatchBytes = 4 << 20
	// maxRecordBytes bounds one record.
	maxRecordBytes = maxBatchBytes
	// minRetryBackoff and maxRetryBackoff bound the backoff after a failed read or append.
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = 2 * time.Second
)

// appendResult is the result of appending and applying a record.
type appendResult struct {
	applyResult projection.ApplyResult
	err         error
}

// pendingAppend is a call of Append that waits for its result. Its fields are guarded by the journal's mutex.
type pendingAppend struct {
	done chan appendResult
	// inDoubt is set while it is unknown whether the record is in the log.
	inDoubt bool
}

// queuedRecord is an encoded record that waits to be appended.
type queuedRecord struct {
	id   string
	data []byte
}

// Append adds a record and waits until it has been read back and applied. If ctx ends first, a record that was never
// sent is dropped from the queue and the error is an *apierror.Error with NotExecuted; if the record may be in the log,
// the error is an ErrLogTimeout.
func (j *Journal[S]) Append(ctx context.Context, rec *record.Record) (projection.ApplyResult, error) {
	q, err := j.encodeRecord(rec)
	if err != nil {
		return projection.ApplyResult{}, err
	}
	pending := &pendingAppend{done: make(chan appendResult, 1)}
	j.mu.Lock()
	if j.haltReason != "" {
		j.mu.Unlock()

		return projection.ApplyResult{}, apierror.New(apierror.LogUnavailable, "this host has stopped reading the log: %s", j.haltReason)
	}
	j.pendingAppends[q.id] = pending
	j.mu.Unlock()

	select {
	case j.appendQueue <- q:
	case <-ctx.Done():
		return j.abandonAppend(ctx, q.id, pending)
	}
	select {
	case r := <-pending.done:
		return r.applyResult, r.err
	case <-ctx.Done():
		return j.abandonAppend(ctx, q.id, pending)
	}
}

// encodeRecord sets the offset up to which this host has read the stream and encodes the record. It returns an error
// for a record that is too large for an append.
func (j *Journal[S]) encodeRecord(rec *record.Record) (*queuedRecord, error) {
	rec.Born = uint64(j.Status().NextOffset)
	data, err := record.EncodeOne(rec)
	if err != nil {
		return nil, apierror.New(apierror.InvalidRequest, "the record cannot be encoded: %v", err)
	}
	if len(data) > maxRecordBytes {
		return nil, apierror.New(apierror.TooLarge, "the record has %d bytes; the log accepts at most %d", len(data), maxRecordBytes)
	}

	return &queuedRecord{id: rec.GetId(), data: data}, nil
}

// abandonAppend ends the wait for a record whose context has ended, so that the record is not sent (again); a result
// that has just arrived is still returned.
func (j *Journal[S]) abandonAppend(ctx context.Context, recordID string, pending *pendingAppend) (projection.ApplyResult, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.pendingAppends, recordID)
	select {
	case r := <-pending.done:
		return r.applyResult, r.err
	default:
	}
	if !pending.inDoubt {
		return projection.ApplyResult{}, apierror.New(apierror.LogUnavailable, "the log is not accepting appends").WithRetryAfter(time.Second)
	}

	return projection.ApplyResult{}, ErrLogTimeout.New("it is unknown whether record %s was appended to the log: %v", recordID, context.Cause(ctx))
}

func (j *Journal[S]) appendLoop(ctx context.Context) {
	for {
		batch := j.collectBatch(ctx)
		if len(batch) == 0 {
			return
		}
		j.appendBatch(ctx, batch)
	}
}

// collectBatch waits for a record and then collects more until the linger has passed and the next append is due.
func (j *Journal[S]) collectBatch(ctx context.Context) []*queuedRecord {
	first := j.carriedOver
	j.carriedOver = nil
	if first == nil {
		select {
		case <-ctx.Done():
			return nil
		case first = <-j.appendQueue:
		}
	}
	batch, size := []*queuedRecord{first}, len(first.data)
	timer := time.NewTimer(max(j.linger, j.pacer.delay(time.Now(), j.minAppendInterval())))
	defer timer.Stop()
	for len(batch) < maxBatchRecords {
		select {
		case q := <-j.appendQueue:
			if size += len(q.data); size > maxBatchBytes {
				j.carriedOver = q

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

// appendBatch retries an append until the log accepts it. If a response is lost, the log holds a second copy, which
// the applier drops as a duplicate.
func (j *Journal[S]) appendBatch(ctx context.Context, batch []*queuedRecord) {
	retryBackoff := newRetryBackoff()
	for ctx.Err() == nil {
		var newlyInDoubt []*pendingAppend
		batch, newlyInDoubt = j.markInDoubt(batch)
		if len(batch) == 0 {
			return
		}
		j.pacer.recordAttempt(time.Now())
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := j.log.Append(appendCtx, j.stream, concatRecords(batch))
		cancel()
		if err == nil {
			j.pacer.recordSuccess()

			return
		}
		j.logger.Info("log-append-failed", "stream", j.stream, "records", len(batch), "error", err)
		sleepContext(ctx, max(j.handleRejection(newlyInDoubt, err), retryBackoff.NextBackOff()))
	}
}

// markInDoubt marks the records that callers still wait for as in doubt and returns them, with the callers whose
// records were not in doubt before.
func (j *Journal[S]) markInDoubt(batch []*queuedRecord) (stillPending []*queuedRecord, newlyInDoubt []*pendingAppend) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, q := range batch {
		pending, ok := j.pendingAppends[q.id]
		if !ok {
			continue
		}
		stillPending = append(stillPending, q)
		if !pending.inDoubt {
			pending.inDoubt = true
			newlyInDoubt = append(newlyInDoubt, pending)
		}
	}

	return stillPending, newlyInDoubt
}

// handleRejection clears inDoubt if the log reports that the append had no effect, and returns how long to wait.
func (j *Journal[S]) handleRejection(newlyInDoubt []*pendingAppend, err error) time.Duration {
	var apiErr *apierror.Error
	if !errors.As(err, &apiErr) || apiErr.Execution != apierror.NotExecuted {
		return 0
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, pending := range newlyInDoubt {
		pending.inDoubt = false
	}
	if apiErr.Kind != apierror.RateLimited {
		return 0
	}
	j.pacer.recordRateLimit()

	return apiErr.RetryAfter/2 + rand.N(apiErr.RetryAfter/2+1)
}

func concatRecords(batch []*queuedRecord) []byte {
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

func newRetryBackoff() *backoff.ExponentialBackOff {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = minRetryBackoff
	retryBackoff.MaxInterval = maxRetryBackoff
	retryBackoff.Reset()

	return retryBackoff
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
