package platformclient

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"cardamomward/core/id"
	"cardamomward/core/projection"
)

const (
	// longPollWait is the long-poll wait of one read of the log.
	longPollWait = time.Second
	// responseGrace is how much longer than longPollWait the response may take.
	responseGrace = 2 * time.Second
	// appendQueueLength bounds the records that wait for an append.
	appendQueueLength = 8192
)

var (
	errorNamespace = errorx.NewNamespace("platform")

	// ErrLogTimeout reports that the log did not confirm a record in time; it is unknown whether the record takes effect.
	ErrLogTimeout = errorNamespace.NewType("outage")
	// ErrRetentionGap reports that entries expired before they were read; it is unknown whether the record took effect.
	ErrRetentionGap = errorNamespace.NewType("retention-gap")
)

// Journal replicates the state of one log stream by applying its records in order, and appends records in batches.
type Journal[S projection.State] struct {
	log               Log
	stream            id.Stream
	linger            time.Duration
	minAppendInterval func() time.Duration
	logger            logr.Logger

	mu             sync.RWMutex
	applier        projection.Applier[S]
	pendingAppends map[string]*pendingAppend
	logReadAt      time.Time
	caughtUp       bool
	changed        chan struct{}
	retentionGaps  int
	haltReason     string

	appendQueue chan *queuedRecord
	// carriedOver is a record that did not fit into the last batch. Only the append loop uses it and the pacer.
	carriedOver *queuedRecord
	pacer       appendPacer
}

// JournalOptions configures a journal.
type JournalOptions struct {
	Log    Log
	Stream id.Stream
	// Linger is the batching delay of an append.
	Linger time.Duration
	// MinAppendInterval returns the minimum time between two appends of this host; nil means zero.
	MinAppendInterval func() time.Duration
	Logger            logr.Logger
}

// NewJournal returns a journal that applies records to an empty state; Run starts it.
func NewJournal[S projection.State](state S, opts JournalOptions) *Journal[S] {
	if opts.MinAppendInterval == nil {
		opts.MinAppendInterval = func() time.Duration { return 0 }
	}

	return &Journal[S]{
		log:               opts.Log,
		stream:            opts.Stream,
		linger:            opts.Linger,
		minAppendInterval: opts.MinAppendInterval,
		logger:            opts.Logger,
		applier:           projection.Applier[S]{State: state},
		pendingAppends:    make(map[string]*pendingAppend),
		changed:           make(chan struct{}),
		appendQueue:       make(chan *queuedRecord, appendQueueLength),
	}
}

// Run reads and appends until ctx ends.
func (j *Journal[S]) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { j.readLoop(ctx) })
	group.Go(func() { j.appendLoop(ctx) })
	group.Wait()
}

// View calls read with the state under a read lock; read must not keep or change the state.
func (j *Journal[S]) View(read func(S)) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	read(j.applier.State)
}

// ViewWithOffset is like View and also passes the offset of the first append that the state does not include.
func (j *Journal[S]) ViewWithOffset(read func(S, id.Offset)) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	read(j.applier.State, j.applier.NextOffset())
}

// JournalStatus describes how far a journal has read its stream and what it failed to apply.
type JournalStatus struct {
	Stream     id.Stream `json:"stream"`
	NextOffset id.Offset `json:"next-offset"`
	// LogReadAt is the send time of the latest read that reached the end of the stream.
	LogReadAt time.Time `json:"heard"`
	// CaughtUp is set once the journal has read up to the end of the stream, until the next retention gap.
	CaughtUp bool `json:"caught-up"`
	// PendingRecords is the number of records whose append has no result yet.
	PendingRecords int `json:"waiting-records"`
	// RetentionGaps is the number of times that entries expired before the journal read them, after its first read.
	RetentionGaps int `json:"retention-gaps"`
	// HaltReason says why the journal has stopped; it is empty while the journal runs.
	HaltReason      string               `json:"halted,omitempty"`
	CorruptAppends  int                  `json:"corrupt-appends,omitempty"`
	UnknownVersions map[uint32]int       `json:"unknown-versions,omitempty"`
	Findings        []projection.Finding `json:"findings,omitempty"`
}

// Status returns the journal's status.
func (j *Journal[S]) Status() JournalStatus {
	j.mu.RLock()
	defer j.mu.RUnlock()

	return JournalStatus{
		Stream:          j.stream,
		NextOffset:      j.applier.NextOffset(),
		LogReadAt:       j.logReadAt,
		CaughtUp:        j.caughtUp,
		PendingRecords:  len(j.pendingAppends),
		RetentionGaps:   j.retentionGaps,
		HaltReason:      j.haltReason,
		CorruptAppends:  j.applier.CorruptAppends(),
		UnknownVersions: maps.Clone(j.applier.UnknownVersions()),
		Findings:        slices.Clone(j.applier.Findings()),
	}
}

// Changed returns a channel that is closed when the state next changes.
func (j *Journal[S]) Changed() <-chan struct{} {
	j.mu.RLock()
	defer j.mu.RUnlock()

	return j.changed
}

func (j *Journal[S]) readLoop(ctx context.Context) {
	retryBackoff := newRetryBackoff()
	var next id.Offset
	for ctx.Err() == nil {
		requestedAt := time.Now()
		readCtx, cancel := context.WithTimeout(ctx, longPollWait+responseGrace)
		page, err := j.log.Read(readCtx, j.stream, next, longPollWait)
		cancel()
		if err == nil {
			next, err = j.applyPage(page, next, requestedAt.Add(-page.Age))
		}
		if err != nil {
			j.logger.V(1).Info("log-read-failed", "stream", j.stream, "error", err)
			sleepContext(ctx, retryBackoff.NextBackOff())

			continue
		}
		retryBackoff.Reset()
	}
}

// applyPage applies a page that was requested at requestedAt and returns the offset to read next.
func (j *Journal[S]) applyPage(page LogPage, from id.Offset, requestedAt time.Time) (id.Offset, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if page.NextOffset < from {
		return from, j.haltReading(page, from)
	}
	if page.FirstOffset > from {
		j.handleRetentionGap(page.FirstOffset, from)
	}
	for _, entry := range page.Entries {
		for _, applyResult := range j.applier.ApplyAppend(entry.Offset, entry.Data) {
			j.deliverResult(applyResult)
		}
	}
	next := j.applier.NextOffset()
	// The response may have waited in a paused process, so it is as old as its request.
	stateChanged := len(page.Entries) > 0
	if next >= page.NextOffset && j.applier.State.Ready() {
		stateChanged = stateChanged || !j.caughtUp
		if requestedAt.After(j.logReadAt) {
			j.logReadAt = requestedAt
		}
		j.caughtUp = true
	}
	if stateChanged {
		close(j.changed)
		j.changed = make(chan struct{})
	}

	return next, nil
}

// haltReading stops the journal: a log that ends before an offset that was read has lost or replaced its history.
func (j *Journal[S]) haltReading(page LogPage, from id.Offset) error {
	err := errorNamespace.NewType("history-lost").New("the log ends at offset %d, but offset %d was read", page.NextOffset, from)
	if j.haltReason == "" {
		j.logger.Error(err, "log-history-lost", "stream", j.stream)
	}
	j.haltReason = err.Error()

	return err
}

// handleRetentionGap invalidates the state, because entries expired before they were read.
func (j *Journal[S]) handleRetentionGap(first, from id.Offset) {
	j.caughtUp = false
	j.applier.SkipTo(first)
	for recordID, pending := range j.pendingAppends {
		if pending.inDoubt {
			j.resolveAppend(recordID, appendResult{err: ErrRetentionGap.New("entries %d to %d expired before they were read", from, first)})
		}
	}
	if from > 0 {
		j.retentionGaps++
		j.logger.Info("log-retention-gap", "stream", j.stream, "from", from, "first", first)
	}
}

func (j *Journal[S]) deliverResult(applyResult projection.ApplyResult) {
	switch applyResult.Reason {
	case projection.Duplicate:
		// The result of the first copy was delivered already.
	case projection.StateUnknown:
		j.resolveAppend(applyResult.ID, appendResult{err: ErrRetentionGap.New("the state that record %s applies to is unknown", applyResult.ID)})
	default:
		j.resolveAppend(applyResult.ID, appendResult{applyResult: applyResult})
	}
}

func (j *Journal[S]) resolveAppend(recordID string, r appendResult) {
	if pending, ok := j.pendingAppends[recordID]; ok {
		delete(j.pendingAppends, recordID)
		pending.done <- r
	}
}
