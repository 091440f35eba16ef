package topicconsumer

import (
	"context"
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
	// listPageTimeout limits the read of each page of a listing.
	listPageTimeout = 3 * time.Second
	// retryInterval is the pause between calls while the store fails.
	retryInterval = 150 * time.Millisecond
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

	nextOffset  int64
	isListed    bool
	failedSince time.Time
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
		SleepContext(ctx, pause)
	}
}

// listOrRead lists the partition if that is due, else reads its next records. If the next offset has expired from the store,
// the partition is listed again.
func (c *Consumer) listOrRead(ctx context.Context) error {
	if !c.isListed {
		return c.listPartition(ctx)
	}
	wait := c.nextWait()
	ctx, cancel := context.WithTimeout(ctx, wait+longPollMargin)
	defer cancel()
	page, err := c.Store.Read(ctx, c.Partition, c.nextOffset, wait)
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

	return nil
}

// nextWait returns how long the store may hold the next read open. After a failure it is zero, so that the end of an outage is
// noticed soon.
func (c *Consumer) nextWait() time.Duration {
	switch {
	case !c.failedSince.IsZero():
		return 0
	case c.LongPoll > 0:
		return c.LongPoll
	default:
		return defaultLongPoll
	}
}

// listPartition applies the newest record of each key; it ignores a listing that is older than the records already read.
func (c *Consumer) listPartition(ctx context.Context) error {
	records, endOffset, err := c.Store.ListNewestRecords(ctx, c.Partition, listPageTimeout)
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

	return nil
}

func (c *Consumer) recordFailure(err error) {
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
