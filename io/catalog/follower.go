package catalog

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/platform"
)

const (
	// upstreamInterval paces the reads of the upstreams' entries, of which there are many.
	upstreamInterval = 250 * time.Millisecond
	// readWait is how long the store keeps a read waiting for records.
	readWait = time.Second
	// readMargin is how much longer than that a read may take before its connection counts as silent.
	readMargin = time.Second
	// listTimeout bounds the listing of a partition.
	listTimeout = 3 * time.Second
	// retryInterval paces calls while the store fails.
	retryInterval = 150 * time.Millisecond
	// outage is how long the store must have failed before its return counts as the end of an outage.
	outage = time.Second
)

// follower reads one partition from its newest records on.
type follower struct {
	catalog   *Catalog
	partition platform.Partition
	// pause is left between reads.
	pause time.Duration
	apply func(platform.Record)
	// retain is told which keys a complete listing has.
	retain func(keys map[string]struct{})
	// returned is told when the store answers after an outage.
	returned func()

	next        int64
	listed      bool
	failedSince time.Time
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.failed(err)
			sleep(ctx, retryInterval)

			continue
		}
		sleep(ctx, f.pause)
	}
}

func (f *follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, readWait+readMargin)
	defer cancel()
	page, err := f.catalog.Store.Read(ctx, f.partition, f.next, readWait)
	if errorx.IsOfType(err, platform.ErrExpired) {
		f.listed = false

		return nil
	}
	if err != nil {
		return err
	}
	f.succeeded()
	for _, record := range page.Records {
		f.apply(record)
	}
	f.next = page.Next

	return nil
}

// list takes the newest record of each key; a listing older than what was read already is passed over.
func (f *follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	records, end, err := f.catalog.Store.Newest(ctx, f.partition)
	if err != nil {
		return err
	}
	f.succeeded()
	if end < f.next {
		sleep(ctx, retryInterval)

		return nil
	}
	keys := make(map[string]struct{}, len(records))
	for _, record := range records {
		keys[record.Key] = struct{}{}
		f.apply(record)
	}
	if f.retain != nil {
		f.retain(keys)
	}
	f.next, f.listed = end, true

	return nil
}

func (f *follower) failed(err error) {
	now := f.catalog.Now()
	if f.failedSince.IsZero() {
		f.failedSince = now
		f.catalog.Logger.Error(err, "store-lost", "topic", f.partition.Topic)
	}
}

func (f *follower) succeeded() {
	f.catalog.NoteAnswer()
	if f.failedSince.IsZero() {
		return
	}
	away := f.catalog.Now().Sub(f.failedSince)
	f.failedSince = time.Time{}
	f.catalog.Logger.Info("store-regained", "topic", f.partition.Topic, "away", away)
	if away >= outage && f.returned != nil {
		f.returned()
	}
}

func sleep(ctx context.Context, d time.Duration) {
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
