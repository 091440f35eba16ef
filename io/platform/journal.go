package platform

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
	// readWait is how long one read waits at the log for new entries.
	readWait = time.Second
	// readGrace is how much longer than readWait the answer may take.
	readGrace = 2 * time.Second
	// queueLength bounds the records that wait for an append.
	queueLength = 8192
)

var (
	errs = errorx.NewNamespace("platform")

	// ErrOutage marks a log that cannot be reached in time; the record's effect is unknown.
	ErrOutage = errs.NewType("outage")
	// ErrRetentionGap marks entries that expired before they were read; the record's effect is unknown.
	ErrRetentionGap = errs.NewType("retention-gap")
)

// Journal folds one stream of the log and appends to it in groups.
type Journal[S projection.State] struct {
	log     Log
	stream  id.Stream
	linger  time.Duration
	spacing func() time.Duration
	logger  logr.Logger

	mu       sync.RWMutex
	folder   projection.Applier[S]
	waiting  map[string]*waiter
	heard    time.Time
	caughtUp bool
	changed  chan struct{}
	gaps     int
	halted   string

	queue chan *queued
	// held is a record that did not fit into the last batch; it belongs to the append loop, as does the pace.
	held *queued
	pace pacer
}

// JournalOptions say how a journal reads and appends.
type JournalOptions struct {
	Log    Log
	Stream id.Stream
	// Linger is how long an append waits for more records.
	Linger time.Duration
	// Spacing returns the least time between two appends of this host; nil sets none.
	Spacing func() time.Duration
	Logger  logr.Logger
}

// NewJournal returns a journal over an empty state.
func NewJournal[S projection.State](state S, opts JournalOptions) *Journal[S] {
	if opts.Spacing == nil {
		opts.Spacing = func() time.Duration { return 0 }
	}

	return &Journal[S]{
		log:     opts.Log,
		stream:  opts.Stream,
		linger:  opts.Linger,
		spacing: opts.Spacing,
		logger:  opts.Logger,
		folder:  projection.Applier[S]{State: state},
		waiting: make(map[string]*waiter),
		changed: make(chan struct{}),
		queue:   make(chan *queued, queueLength),
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

// ViewAt is View with the offset of the first append that the state does not contain.
func (j *Journal[S]) ViewAt(read func(S, id.Offset)) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	read(j.folder.State, j.folder.NextOffset())
}

// Status is what a journal knows of its stream.
type Status struct {
	Stream id.Stream `json:"stream"`
	Next   id.Offset `json:"next-offset"`
	// Heard is when the latest read that reached the end of the stream was sent.
	Heard    time.Time `json:"heard"`
	CaughtUp bool      `json:"caught-up"`
	Waiting  int       `json:"waiting-records"`
	Gaps     int       `json:"retention-gaps"`
	// Halted says why the journal takes nothing from the log any more.
	Halted   string               `json:"halted,omitempty"`
	Corrupt  int                  `json:"corrupt-appends,omitempty"`
	Unknown  map[uint32]int       `json:"unknown-versions,omitempty"`
	Findings []projection.Finding `json:"findings,omitempty"`
}

// Status returns what the journal knows of its stream.
func (j *Journal[S]) Status() Status {
	j.mu.RLock()
	defer j.mu.RUnlock()

	return Status{
		Stream:   j.stream,
		Next:     j.folder.NextOffset(),
		Heard:    j.heard,
		CaughtUp: j.caughtUp,
		Waiting:  len(j.waiting),
		Gaps:     j.gaps,
		Halted:   j.halted,
		Corrupt:  j.folder.CorruptAppends(),
		Unknown:  maps.Clone(j.folder.UnknownVersions()),
		Findings: slices.Clone(j.folder.Findings()),
	}
}

// Changed returns a channel that is closed when the state next changes.
func (j *Journal[S]) Changed() <-chan struct{} {
	j.mu.RLock()
	defer j.mu.RUnlock()

	return j.changed
}

func (j *Journal[S]) readLoop(ctx context.Context) {
	pause := newBackOff()
	var next id.Offset
	for ctx.Err() == nil {
		sent := time.Now()
		readCtx, cancel := context.WithTimeout(ctx, readWait+readGrace)
		page, err := j.log.Read(readCtx, j.stream, next, readWait)
		cancel()
		if err == nil {
			next, err = j.apply(page, next, sent.Add(-page.Age))
		}
		if err != nil {
			j.logger.V(1).Info("log-read-failed", "stream", j.stream, "error", err)
			sleep(ctx, pause.NextBackOff())

			continue
		}
		pause.Reset()
	}
}

// apply folds a page that was asked for at sent and returns the offset to read next.
func (j *Journal[S]) apply(page Page, from id.Offset, sent time.Time) (id.Offset, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if page.Next < from {
		return from, j.halt(page, from)
	}
	if page.First > from {
		j.gap(page.First, from)
	}
	for _, entry := range page.Entries {
		for _, verdict := range j.folder.ApplyAppend(entry.Offset, entry.Data) {
			j.deliver(verdict)
		}
	}
	next := j.folder.NextOffset()
	// A page that waited in a paused process is old: what it tells was true when it was asked for.
	news := len(page.Entries) > 0
	if next >= page.Next && j.folder.State.Ready() {
		news = news || !j.caughtUp
		if sent.After(j.heard) {
			j.heard = sent
		}
		j.caughtUp = true
	}
	if news {
		close(j.changed)
		j.changed = make(chan struct{})
	}

	return next, nil
}

// halt stops the journal: a log that ends before what was read from it has lost or replaced its history.
func (j *Journal[S]) halt(page Page, from id.Offset) error {
	err := errs.NewType("history-lost").New("the log ends at offset %d, but offset %d was read", page.Next, from)
	if j.halted == "" {
		j.logger.Error(err, "log-history-lost", "stream", j.stream)
	}
	j.halted = err.Error()

	return err
}

// gap gives up the state: entries expired before they were read.
func (j *Journal[S]) gap(first, from id.Offset) {
	j.caughtUp = false
	j.folder.SkipTo(first)
	for name, w := range j.waiting {
		if w.inDoubt {
			j.resolve(name, result{err: ErrRetentionGap.New("entries %d to %d expired before they were read", from, first)})
		}
	}
	if from > 0 {
		j.gaps++
		j.logger.Info("log-retention-gap", "stream", j.stream, "from", from, "first", first)
	}
}

func (j *Journal[S]) deliver(verdict projection.ApplyResult) {
	switch verdict.Reason {
	case projection.Duplicate:
		// The first copy had its verdict.
	case projection.StateUnknown:
		j.resolve(verdict.ID, result{err: ErrRetentionGap.New("the state of record %s is unknown", verdict.ID)})
	default:
		j.resolve(verdict.ID, result{verdict: verdict})
	}
}

func (j *Journal[S]) resolve(recordID string, r result) {
	if w, ok := j.waiting[recordID]; ok {
		delete(j.waiting, recordID)
		w.done <- r
	}
}
