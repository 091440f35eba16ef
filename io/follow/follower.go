package follow

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"cardamomward/platform"
)

const (
	// readWait is how long the store keeps a read waiting for records.
	readWait = time.Second
	// readMargin is how much longer than that a read may take before its connection counts as silent.
	readMargin = time.Second
	// listTimeout bounds each page of the listing of a partition.
	listTimeout = 3 * time.Second
	// retryInterval paces calls while the store fails.
	retryInterval = 150 * time.Millisecond
	// outage is how long the store must have failed before its return counts as the end of an outage.
	outage = time.Second
)

// Follower reads one partition until its context ends.
type Follower struct {
	Store     *platform.Store
	Partition platform.Partition
	Logger    logr.Logger
	Now       func() time.Time
	// Pause is left between reads, as long as Stretch makes it, where that is set.
	Pause   time.Duration
	Stretch func(time.Duration) time.Duration
	// Apply is told each record.
	Apply func(platform.Record)
	// Retain is told which keys a complete listing has; it may be nil.
	Retain func(keys map[string]struct{})
	// Answered is told that the store has answered, and after how long an outage, if there was one; it may be nil.
	Answered func(away time.Duration)

	next        int64
	listed      bool
	failedSince time.Time
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.failed(err)
			Sleep(ctx, retryInterval)

			continue
		}
		pause := f.Pause
		if f.Stretch != nil {
			pause = f.Stretch(pause)
		}
		Sleep(ctx, pause)
	}
}

func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, readWait+readMargin)
	defer cancel()
	page, err := f.Store.Read(ctx, f.Partition, f.next, readWait)
	if errorx.IsOfType(err, platform.ErrExpired) {
		f.listed = false

		return nil
	}
	if err != nil {
		return err
	}
	f.succeeded()
	for _, record := range page.Records {
		f.Apply(record)
	}
	f.next = page.Next

	return nil
}

// list takes the newest record of each key; a listing older than what was read already is passed over.
func (f *Follower) list(ctx context.Context) error {
	records, end, err := f.Store.Newest(ctx, f.Partition, listTimeout)
	if err != nil {
		return err
	}
	f.succeeded()
	if end < f.next {
		Sleep(ctx, retryInterval)

		return nil
	}
	keys := make(map[string]struct{}, len(records))
	for _, record := range records {
		keys[record.Key] = struct{}{}
		f.Apply(record)
	}
	if f.Retain != nil {
		f.Retain(keys)
	}
	f.next, f.listed = end, true

	return nil
}

func (f *Follower) failed(err error) {
	if f.failedSince.IsZero() {
		f.failedSince = f.Now()
		f.Logger.Error(err, "store-lost", "topic", f.Partition.Topic)
	}
}

func (f *Follower) succeeded() {
	var away time.Duration
	if !f.failedSince.IsZero() {
		away = f.Now().Sub(f.failedSince)
		f.failedSince = time.Time{}
		f.Logger.Info("store-regained", "topic", f.Partition.Topic, "away", away)
	}
	if f.Answered == nil {
		return
	}
	if away < outage {
		away = 0
	}
	f.Answered(away)
}

// Sleep waits for a time or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
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
