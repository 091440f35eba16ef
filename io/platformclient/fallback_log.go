package platformclient

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
)

const (
	// slowReadGrace is how much longer than its long-poll wait a read of the log may take before peers are asked.
	slowReadGrace = 300 * time.Millisecond
	// peerPollInterval is the pause between two reads from peers.
	peerPollInterval = 250 * time.Millisecond
	// logFailureWindow is how long after a failure of the log reads ask peers without delay.
	logFailureWindow = 10 * time.Second
	// maxCachedEntries bounds the entries that a host caches for its peers.
	maxCachedEntries = 4096
)

// ReadPeersFunc reads entries from peers that can reach the log; the page's Age says how old their data is.
type ReadPeersFunc func(ctx context.Context, from id.Offset) (LogPage, error)

// FallbackLog reads one stream from the log, or from peers while the log does not respond, and caches recent entries
// for peers that cannot reach the log.
type FallbackLog struct {
	Log       Log
	ReadPeers ReadPeersFunc

	mu          sync.Mutex
	entries     []LogEntry
	nextOffset  id.Offset
	logReadAt   time.Time
	logFailedAt time.Time
}

var _ Log = (*FallbackLog)(nil)

// Append adds one entry to the log; peers do not forward appends.
func (r *FallbackLog) Append(ctx context.Context, stream id.Stream, data []byte) (id.Offset, error) {
	return r.Log.Append(ctx, stream, data)
}

// Read returns the first response of the log, or the first page of a peer that is newer than the cached entries.
func (r *FallbackLog) Read(ctx context.Context, stream id.Stream, from id.Offset, wait time.Duration) (LogPage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pages := make(chan LogPage, 2)
	logErrs := make(chan error, 1)
	requestedAt := time.Now()
	go func() {
		page, err := r.Log.Read(ctx, stream, from, wait)
		if err != nil {
			logErrs <- err

			return
		}
		r.cachePage(page, requestedAt)
		pages <- page
	}()
	go r.pollPeers(ctx, from, requestedAt, r.peerReadDelay(requestedAt, wait), pages)

	select {
	case page := <-pages:
		return page, nil
	case err := <-logErrs:
		r.recordLogFailure(time.Now())

		return r.awaitPeerPage(ctx, pages, err)
	case <-ctx.Done():
		r.recordLogFailure(time.Now())

		return LogPage{}, ctx.Err()
	}
}

// awaitPeerPage waits up to peerPollInterval for a page of a peer after the log has failed.
func (r *FallbackLog) awaitPeerPage(ctx context.Context, pages <-chan LogPage, err error) (LogPage, error) {
	timer := time.NewTimer(peerPollInterval)
	defer timer.Stop()
	select {
	case page := <-pages:
		return page, nil
	case <-timer.C:
	case <-ctx.Done():
	}

	return LogPage{}, err
}

// peerReadDelay returns how long to wait for the log before peers are asked.
func (r *FallbackLog) peerReadDelay(now time.Time, wait time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.logFailedAt) < logFailureWindow {
		return 0
	}

	return wait + slowReadGrace
}

func (r *FallbackLog) recordLogFailure(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logFailedAt = now
}

// pollPeers reads from peers until one returns a newer page; the page's Age is relative to the start of the read.
func (r *FallbackLog) pollPeers(ctx context.Context, from id.Offset, start time.Time, delay time.Duration, pages chan<- LogPage) {
	sleepContext(ctx, delay)
	for ctx.Err() == nil {
		requestedAt := time.Now()
		page, err := r.ReadPeers(ctx, from)
		// A peer's page is as old as the request at the latest, so its age counts from the request.
		page.Age -= requestedAt.Sub(start)
		if err == nil && r.isNewer(page, from, start) {
			if delay > 0 {
				r.recordLogFailure(time.Now())
			}
			r.cachePage(page, start)
			pages <- page

			return
		}
		sleepContext(ctx, peerPollInterval)
	}
}

// isNewer reports whether a peer's page holds new entries or is newer than this host's data. Without this check, hosts
// that all lost the log would keep accepting each other's pages instead of the log's responses once it is back.
func (r *FallbackLog) isNewer(page LogPage, from id.Offset, start time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return page.NextOffset > from || start.Add(-page.Age).Sub(r.logReadAt) >= peerPollInterval
}

// cachePage caches a page for peers that can't reach the log; the page's Age is relative to requestedAt.
func (r *FallbackLog) cachePage(page LogPage, requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if logReadAt := requestedAt.Add(-page.Age); logReadAt.After(r.logReadAt) {
		r.logReadAt = logReadAt
	}
	for _, entry := range page.Entries {
		if entry.Offset < r.nextOffset {
			continue
		}
		r.entries = append(r.entries, entry)
		r.nextOffset = entry.Offset + 1
	}
	r.nextOffset = max(r.nextOffset, page.FirstOffset)
	if excess := len(r.entries) - maxCachedEntries; excess > 0 {
		r.entries = append([]LogEntry(nil), r.entries[excess:]...)
	}
}

// CachedEntries returns the cached entries from an offset on, or a NotFound error if some of them are not cached.
func (r *FallbackLog) CachedEntries(from id.Offset, now time.Time) (LogPage, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.logReadAt.IsZero() {
		return LogPage{}, apierror.New(apierror.NotFound, "this host has not read the log yet")
	}
	first := r.nextOffset
	if len(r.entries) > 0 {
		first = r.entries[0].Offset
	}
	if from < first || from > r.nextOffset {
		return LogPage{}, apierror.New(apierror.NotFound, "entries from offset %d on are not cached at this host", from)
	}
	page := LogPage{FirstOffset: first, NextOffset: r.nextOffset, Age: now.Sub(r.logReadAt)}
	for _, entry := range r.entries {
		if entry.Offset >= from {
			page.Entries = append(page.Entries, entry)
		}
	}

	return page, nil
}

// RoundUpToMillis rounds an age up to whole milliseconds, the unit in which hosts send it to each other. Rounded down
// at every exchange, the age of data that hosts pass back and forth would never grow.
func RoundUpToMillis(age time.Duration) time.Duration {
	return (age + time.Millisecond - 1).Truncate(time.Millisecond)
}
