package topicconsumer

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"cardamomward/platform"
)

const (
	// defaultLongPoll is the long-poll wait of reads whose consumer sets none.
	defaultLongPoll = time.Second
	// longPollMargin is the time limit of a read beyond its long-poll wait; then its connection counts as dead.
	longPollMargin = time.Second
	// maxListTimeout limits the read of each page of a listing.
	maxListTimeout = 3 * time.Second
	// retryInterval is the pause between calls while the store fails.
	retryInterval = 150 * time.Millisecond
	// recoveryPeriod is the time for which RecoveryLongPoll applies after a failure: until the host counts as connected to the store again.
	recoveryPeriod = 3 * time.Second
	// minOutageDuration is the duration of failures after which a success counts as the end of an outage.
	minOutageDuration = time.Second
)

// Consumer consumes one partition of a topic.
type Consumer struct {
	Store     *platform.Store
	Partition platform.Partition
	Logger    logr.Logger
	Now       func() time.Time
	// LongPoll is how long the store may hold a read open until there are records; zero means a second. A read on a connection that
	// has gone silent is noticed a second later.
	LongPoll time.Duration
	// RecoveryLongPoll limits the long-poll wait soon after a failure, since connections may have gone silent with it; zero means no limit.
	RecoveryLongPoll time.Duration
	// ListTimeout limits the read of each page of a listing, twice that after a listing that failed, up to 3 s; zero means 3 s.
	ListTimeout time.Duration
	// ReadPause is the pause between reads. ScalePause returns the pause to use instead, such as a longer one on a large
	// cluster; it may be nil.
	ReadPause  time.Duration
	ScalePause func(time.Duration) time.Duration
	// ApplyRecord is called with each record, in the order in which the store returns them; a record may be repeated when
	// the partition is listed again.
	ApplyRecord func(platform.Record)
	// OnListed is called with all keys of a complete listing; it may be nil.
	OnListed func(keys map[string]struct{})
	// OnResponse is called when the store responds, with the duration of the outage that has ended, or zero if there was
	// none; it may be nil.
	OnResponse func(outage time.Duration)
	// OnApplied is called with the time up to which all records that were written have been applied; it may be nil.
	OnApplied func(until time.Time)

	nextOffset  int64
	isListed    bool
	failedSince time.Time
	// lastFailedAt is the time of the last failure.
	lastFailedAt time.Time
	// hasListingFailed is set if the last listing failed.
	hasListingFailed bool

	refreshMu sync.Mutex
	// endWait ends the long-poll wait or the pause in progress; nil if there is none.
	endWait     context.CancelFunc
	refreshedAt time.Time
	// isRefreshing is set from a refresh until its read begins.
	isRefreshing bool
}

// minRefreshInterval separates the refreshes, so that they read no more often than consumers with a pause do.
const minRefreshInterval = 250 * time.Millisecond

// Refresh reads the partition now instead of after the long-poll wait or the pause in progress. It does nothing while the store fails,
// or soon after another refresh.
func (c *Consumer) Refresh() {
	c.refreshMu.Lock()
	defer c.refreshMu.Unlock()
	now := c.Now()
	if c.endWait == nil || now.Sub(c.refreshedAt) < minRefreshInterval {
		return
	}
	c.refreshedAt, c.isRefreshing = now, true
	c.endWait()
	c.endWait = nil
}

// beginWait returns a context that a refresh ends; end must be called after the wait.
func (c *Consumer) beginWait(ctx context.Context) (waitCtx context.Context, end func()) {
	waitCtx, cancel := context.WithCancel(ctx)
	c.refreshMu.Lock()
	defer c.refreshMu.Unlock()
	c.endWait = cancel

	return waitCtx, func() {
		c.refreshMu.Lock()
		defer c.refreshMu.Unlock()
		c.endWait = nil
		cancel()
	}
}

// takeRefresh reports whether the next read is a refresh, which does not wait for records.
func (c *Consumer) takeRefresh() bool {
	c.refreshMu.Lock()
	defer c.refreshMu.Unlock()
	isRefreshing := c.isRefreshing
	c.isRefreshing = false

	return isRefreshing
}

// isInterrupted reports whether a refresh has ended the wait of a read.
func (c *Consumer) isInterrupted() bool {
	c.refreshMu.Lock()
	defer c.refreshMu.Unlock()

	return c.isRefreshing
}

// Run consumes the partition until ctx ends.
func (c *Consumer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.listOrRead(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.recordFailure(err)
			SleepContext(ctx, retryInterval)

			continue
		}
		pause := c.ReadPause
		if c.ScalePause != nil {
			pause = c.ScalePause(pause)
		}
		c.pause(ctx, pause)
	}
}

// pause separates two reads, unless a refresh ends it.
func (c *Consumer) pause(ctx context.Context, duration time.Duration) {
	if c.isInterrupted() {
		return
	}
	waitCtx, end := c.beginWait(ctx)
	defer end()
	SleepContext(waitCtx, duration)
}

// listOrRead lists the partition if that is due, else reads its next records. If the next offset has expired from the store,
// the partition is listed again.
func (c *Consumer) listOrRead(ctx context.Context) error {
	if !c.isListed {
		return c.listPartition(ctx)
	}
	wait := c.nextWait()
	startedAt := c.Now()
	readCtx, cancel := context.WithTimeout(ctx, wait+longPollMargin)
	defer cancel()
	if wait > 0 {
		// A read that does not wait is not interrupted: refreshes would keep a slow store from ever responding.
		waitCtx, end := c.beginWait(readCtx)
		defer end()
		readCtx = waitCtx
	}
	page, err := c.Store.Read(readCtx, c.Partition, c.nextOffset, wait)
	if err != nil && c.isInterrupted() {
		return nil
	}
	if errorx.IsOfType(err, platform.ErrExpired) {
		c.isListed = false

		return nil
	}
	if err != nil {
		return err
	}
	c.recordSuccess()
	for _, record := range page.Records {
		c.ApplyRecord(record)
	}
	c.nextOffset = page.NextOffset
	if len(page.Records) == 0 && c.Now().Sub(startedAt) >= wait {
		// The store has held the read open and had no record until then.
		startedAt = startedAt.Add(wait)
	}
	c.recordApplied(startedAt)

	return nil
}

func (c *Consumer) recordApplied(until time.Time) {
	if c.OnApplied != nil {
		c.OnApplied(until)
	}
}

// nextWait returns how long the store may hold the next read open. After a failure it is zero, so that the end of an outage is
// noticed soon.
func (c *Consumer) nextWait() time.Duration {
	isRefresh := c.takeRefresh()
	if isRefresh || !c.failedSince.IsZero() {
		return 0
	}
	wait := c.LongPoll
	if wait <= 0 {
		wait = defaultLongPoll
	}
	if c.RecoveryLongPoll > 0 && c.Now().Sub(c.lastFailedAt) < recoveryPeriod {
		wait = min(wait, c.RecoveryLongPoll)
	}

	return wait
}

// listPartition applies the newest record of each key; it ignores a listing that is older than the records already read.
func (c *Consumer) listPartition(ctx context.Context) error {
	startedAt := c.Now()
	records, endOffset, err := c.Store.ListNewestRecords(ctx, c.Partition, c.listTimeout())
	c.hasListingFailed = err != nil
	if err != nil {
		return err
	}
	c.recordSuccess()
	if endOffset < c.nextOffset {
		SleepContext(ctx, retryInterval)

		return nil
	}
	keys := make(map[string]struct{}, len(records))
	for _, record := range records {
		keys[record.Key] = struct{}{}
		c.ApplyRecord(record)
	}
	if c.OnListed != nil {
		c.OnListed(keys)
	}
	c.nextOffset, c.isListed = endOffset, true
	c.recordApplied(startedAt)

	return nil
}

// listTimeout returns the time limit of each page of the next listing. After a listing that failed it is longer, since many hosts may be
// listing at once.
func (c *Consumer) listTimeout() time.Duration {
	timeout := c.ListTimeout
	if timeout <= 0 {
		return maxListTimeout
	}
	if c.hasListingFailed {
		timeout *= 2
	}

	return min(timeout, maxListTimeout)
}

func (c *Consumer) recordFailure(err error) {
	c.lastFailedAt = c.Now()
	if c.failedSince.IsZero() {
		c.failedSince = c.Now()
		c.Logger.Error(err, "store-lost", "topic", c.Partition.Topic)
	}
}

func (c *Consumer) recordSuccess() {
	var outage time.Duration
	if !c.failedSince.IsZero() {
		outage = c.Now().Sub(c.failedSince)
		c.failedSince = time.Time{}
		c.Logger.Info("store-regained", "topic", c.Partition.Topic, "away", outage)
	}
	if c.OnResponse == nil {
		return
	}
	if outage < minOutageDuration {
		outage = 0
	}
	c.OnResponse(outage)
}

// SleepContext sleeps for d or until ctx ends.
func SleepContext(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
