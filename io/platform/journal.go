package platform

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"cardamomward/core/fold"
	"cardamomward/core/id"
	"cardamomward/core/record"
	"cardamomward/core/refusal"
)

const (
	// readWait is how long one read waits at the log for new entries.
	readWait = time.Second
	// readGrace is how much longer than readWait the answer may take.
	readGrace = 2 * time.Second
	// appendTimeout bounds one append; without an answer it is in doubt.
	appendTimeout = 2 * time.Second
	// retryPause is the pause after a failed read or append.
	retryPause = 100 * time.Millisecond
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 4096
)

var (
	errs = errorx.NewNamespace("platform")

	// ErrOutage marks a log that cannot be reached in time; the record's effect is unknown.
	ErrOutage = errs.NewType("outage")
	// ErrRetentionGap marks entries that expired before they were read.
	ErrRetentionGap = errs.NewType("retention-gap")
)

// Journal folds one stream of the log and appends to it in groups.
type Journal[S fold.State] struct {
	log    Log
	stream id.Stream
	linger time.Duration
	logger logr.Logger

	mu       sync.RWMutex
	folder   fold.Folder[S]
	waiting  map[string]chan fold.Verdict
	heard    time.Time
	caughtUp bool
	changed  chan struct{}
	gaps     int

	queue chan *record.Record
}

// JournalOptions say how a journal reads and appends.
type JournalOptions struct {
	Log    Log
	Stream id.Stream
	// Linger is how long an append waits for more records.
	Linger time.Duration
	Logger logr.Logger
}

// queueLength bounds the records that wait for an append.
const queueLength = 8192

// NewJournal returns a journal over an empty state.
func NewJournal[S fold.State](state S, opts JournalOptions) *Journal[S] {
	return &Journal[S]{
		log:     opts.Log,
		stream:  opts.Stream,
		linger:  opts.Linger,
		logger:  opts.Logger,
		folder:  fold.Folder[S]{State: state},
		waiting: make(map[string]chan fold.Verdict),
		changed: make(chan struct{}),
		queue:   make(chan *record.Record, queueLength),
	}
}

// Run reads and appends until ctx ends.
func (j *Journal[S]) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { j.readLoop(ctx) })
	group.Go(func() { j.appendLoop(ctx) })
	group.Wait()
}

// View calls read with the state, which must not be kept or changed.
func (j *Journal[S]) View(read func(S)) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	read(j.folder.State)
}

// Status is what a journal knows of its stream.
type Status struct {
	Stream   id.Stream      `json:"stream"`
	Next     id.Offset      `json:"next-offset"`
	Heard    time.Time      `json:"heard"`
	CaughtUp bool           `json:"caught-up"`
	Waiting  int            `json:"waiting-records"`
	Gaps     int            `json:"retention-gaps"`
	Findings []fold.Finding `json:"findings,omitempty"`
}

// Status returns what the journal knows of its stream.
func (j *Journal[S]) Status() Status {
	j.mu.RLock()
	defer j.mu.RUnlock()

	return Status{
		Stream:   j.stream,
		Next:     j.folder.Next(),
		Heard:    j.heard,
		CaughtUp: j.caughtUp,
		Waiting:  len(j.waiting),
		Gaps:     j.gaps,
		Findings: j.folder.Findings(),
	}
}

// Changed returns a channel that is closed when the state next changes.
func (j *Journal[S]) Changed() <-chan struct{} {
	j.mu.RLock()
	defer j.mu.RUnlock()

	return j.changed
}

// Append adds a record and waits until it has been folded, or returns ErrOutage when ctx ends first.
func (j *Journal[S]) Append(ctx context.Context, rec *record.Record) (fold.Verdict, error) {
	verdict := make(chan fold.Verdict, 1)
	j.mu.Lock()
	j.waiting[rec.GetId()] = verdict
	j.mu.Unlock()
	defer j.forget(rec.GetId())

	select {
	case j.queue <- rec:
	case <-ctx.Done():
		return fold.Verdict{}, refusal.New(refusal.LogUnavailable, "the log does not take records now").WithRetry(time.Second)
	}
	select {
	case v := <-verdict:
		return v, nil
	case <-ctx.Done():
		return fold.Verdict{}, ErrOutage.New("record %s is not known to be in the log: %v", rec.GetId(), context.Cause(ctx))
	}
}

func (j *Journal[S]) forget(recordID string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.waiting, recordID)
}

func (j *Journal[S]) awaited(recordID string) bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	_, ok := j.waiting[recordID]

	return ok
}

func (j *Journal[S]) readLoop(ctx context.Context) {
	var next id.Offset
	for ctx.Err() == nil {
		asked := time.Now()
		readCtx, cancel := context.WithTimeout(ctx, readWait+readGrace)
		page, err := j.log.Read(readCtx, j.stream, next, readWait)
		cancel()
		if err != nil {
			j.logger.V(1).Info("log-read-failed", "stream", j.stream, "error", err)
			sleep(ctx, retryPause)

			continue
		}
		next = j.apply(page, next, asked.Add(-page.Age))
	}
}

// apply folds a page that was asked for at a time and returns the offset to read next.
func (j *Journal[S]) apply(page Page, from id.Offset, asked time.Time) id.Offset {
	j.mu.Lock()
	defer j.mu.Unlock()
	if page.First > from && from > 0 {
		j.gaps++
		j.logger.Info("log-retention-gap", "stream", j.stream, "from", from, "first", page.First)
	}
	next := max(from, page.First)
	for _, entry := range page.Entries {
		for _, verdict := range j.folder.Append(entry.Offset, entry.Data) {
			j.deliver(verdict)
		}
		next = entry.Offset + 1
	}
	// What the page does not show may have been appended right after the question.
	if asked.After(j.heard) {
		j.heard = asked
	}
	if next >= page.Next {
		j.caughtUp = true
	}
	if len(page.Entries) > 0 || !j.caughtUp {
		close(j.changed)
		j.changed = make(chan struct{})
	}

	return next
}

func (j *Journal[S]) deliver(verdict fold.Verdict) {
	if verdict.Reason == fold.Duplicate {
		return
	}
	if waiter, ok := j.waiting[verdict.ID]; ok {
		waiter <- verdict
		delete(j.waiting, verdict.ID)
	}
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

// collect waits for a record and then for more of them up to the linger.
func (j *Journal[S]) collect(ctx context.Context) []*record.Record {
	var batch []*record.Record
	select {
	case <-ctx.Done():
		return nil
	case rec := <-j.queue:
		batch = append(batch, rec)
	}
	timer := time.NewTimer(j.linger)
	defer timer.Stop()
	for len(batch) < maxBatchRecords {
		select {
		case rec := <-j.queue:
			batch = append(batch, rec)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}

	return batch
}

// appendBatch appends until the log answers; a second copy after a lost answer is dropped by the fold.
func (j *Journal[S]) appendBatch(ctx context.Context, batch []*record.Record) {
	for ctx.Err() == nil {
		batch = j.stillAwaited(batch)
		if len(batch) == 0 {
			return
		}
		data, err := record.Encode(batch)
		if err != nil {
			j.logger.Error(err, "log-encode-failed", "stream", j.stream)

			return
		}
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err = j.log.Append(appendCtx, j.stream, data)
		cancel()
		if err == nil {
			return
		}
		j.logger.Info("log-append-failed", "stream", j.stream, "records", len(batch), "error", err)
		sleep(ctx, retryPause)
	}
}

// stillAwaited drops records that have been folded or given up on.
func (j *Journal[S]) stillAwaited(batch []*record.Record) []*record.Record {
	kept := batch[:0]
	for _, rec := range batch {
		if j.awaited(rec.GetId()) {
			kept = append(kept, rec)
		}
	}

	return kept
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
