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
	// logFailureWindow is the period after a failure of the log in which reads ask peers without delay.
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
func (l *FallbackLog) Append(ctx context.Context, stream id.Stream, data []byte) (id.Offset, error) {
	return l.Log.Append(ctx, stream, data)
}

// Read returns the first response of the log, or the first page of a peer that is newer than the cached entries.
func (l *FallbackLog) Read(ctx context.Context, stream id.Stream, from id.Offset, wait time.Duration) (LogPage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pages := make(chan LogPage, 2)
	logErrs := make(chan error, 1)
	requestedAt := time.Now()
	go func() {
		page, err := l.Log.Read(ctx, stream, from, wait)
		if err != nil {
			logErrs <- err

			return
		}
		l.cachePage(page, requestedAt)
		pages <- page
	}()
	go l.pollPeers(ctx, from, requestedAt, l.peerReadDelay(requestedAt, wait), pages)

	select {
	case page := <-pages:
		return page, nil
	case err := <-logErrs:
		l.recordLogFailure(time.Now())

		return l.awaitPeerPage(ctx, pages, err)
	case <-ctx.Done():
		l.recordLogFailure(time.Now())

		return LogPage{}, ctx.Err()
	}
}

// awaitPeerPage waits up to peerPollInterval for a page of a peer after the log has failed.
func (l *FallbackLog) awaitPeerPage(ctx context.Context, pages <-chan LogPage, err error) (LogPage, error) {
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
func (l *FallbackLog) peerReadDelay(now time.Time, wait time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.logFailedAt) < logFailureWindow {
		return 0
	}

	return wait + slowReadGrace
}

func (l *FallbackLog) recordLogFailure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logFailedAt = now
}

// pollPeers reads from peers until one returns a newer page; the page's Age is relative to the start of the read.
func (l *FallbackLog) pollPeers(ctx context.Context, from id.Offset, start time.Time, delay time.Duration, pages chan<- LogPage) {
	sleepContext(ctx, delay)
	for ctx.Err() == nil {
		requestedAt := time.Now()
		page, err := l.ReadPeers(ctx, from)
		// A peer's page is as old as the request at the latest, so its age counts from the request.
		page.Age -= requestedAt.Sub(start)
		if err == nil && l.isNewer(page, from, start) {
			if delay > 0 {
				l.recordLogFailure(time.Now())
			}
			l.cachePage(page, start)
			pages <- page

			return
		}
		sleepContext(ctx, peerPollInterval)
	}
}

// isNewer reports whether a peer's page holds new entries or is newer than this host's data. Without this check, hosts
// that all lost the log would keep accepting each other's pages instead of the log's responses once it is back.
func (l *FallbackLog) isNewer(page LogPage, from id.Offset, start time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return page.NextOffset > from || start.Add(-page.Age).Sub(l.logReadAt) >= peerPollInterval
}

// cachePage caches a page for peers that can't reach the log; the page's Age is relative to requestedAt.
func (l *FallbackLog) cachePage(page LogPage, requestedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if logReadAt := requestedAt.Add(-page.Age); logReadAt.After(l.logReadAt) {
		l.logReadAt = logReadAt
	}
	for _, entry := range page.Entries {
		if entry.Offset < l.nextOffset {
			continue
		}
		l.entries = append(l.entries, entry)
		l.nextOffset = entry.Offset + 1
	}
	l.nextOffset = max(l.nextOffset, page.FirstOffset)
	if excess := len(l.entries) - maxCachedEntries; excess > 0 {
		l.entries = append([]LogEntry(nil), l.entries[excess:]...)
	}
}

// CachedEntries returns the cached entries from an offset on, or a NotFound error if some of them are not cached.
func (l *FallbackLog) CachedEntries(from id.Offset, now time.Time) (LogPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logReadAt.IsZero() {
		return LogPage{}, apierror.New(apierror.NotFound, "this host has not read the log yet")
	}
	first := l.nextOffset
	if len(l.entries) > 0 {
		first = l.entries[0].Offset
	}
	if from < first || from > l.nextOffset {
		return LogPage{}, apierror.New(apierror.NotFound, "entries from offset %d on are not cached at this host", from)
	}
	page := LogPage{FirstOffset: first, NextOffset: l.nextOffset, Age: now.Sub(l.logReadAt)}
	for _, entry := range l.entries {
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
