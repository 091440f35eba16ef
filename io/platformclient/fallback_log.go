package platformclient

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
)

const (
	// relayDelay is how much longer than its wait a read of the log may take before peers are asked.
	slowReadGrace = 300 * time.Millisecond
	// relayInterval is the pause between two questions to peers.
	peerPollInterval = 250 * time.Millisecond
	// relayMemory is how long peers are asked at once after the log has failed.
	logFailureWindow = 10 * time.Second
	// keptEntries bounds the entries that a host keeps for its peers.
	maxCachedEntries = 4096
)

// ReadPeersFunc reads entries from peers that reach the log; the page says how old their knowledge is.
type ReadPeersFunc func(ctx context.Context, from id.Offset) (LogPage, error)

// FallbackLog reads one stream from the log or, while the log does not answer, from peers, and keeps recent entries for them.
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

// Append adds one entry to the log itself.
func (r *FallbackLog) Append(ctx context.Context, stream id.Stream, data []byte) (id.Offset, error) {
	return r.Log.Append(ctx, stream, data)
}

// Read returns the first answer that brings news, from the log or from a peer.
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

// orPeers waits a moment for the peers after the log has failed.
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

// patience is how long the log has before peers are asked.
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

// askPeers asks until a peer brings news; the page's age counts from the start of the read.
func (r *FallbackLog) pollPeers(ctx context.Context, from id.Offset, start time.Time, delay time.Duration, pages chan<- LogPage) {
	sleepContext(ctx, delay)
	for ctx.Err() == nil {
		requestedAt := time.Now()
		page, err := r.ReadPeers(ctx, from)
		// A peer tells what was true before it answered, so the age is taken from the question.
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

// news reports whether a peer's page holds entries or is fresher than what this host has heard. Without this, hosts
// that all miss the log would take each other's pages in place of its answers once it is back.
func (r *FallbackLog) isNewer(page LogPage, from id.Offset, start time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return page.NextOffset > from || start.Add(-page.Age).Sub(r.logReadAt) >= peerPollInterval
}

// keep remembers a page for peers that can't reach the log; the page's age counts from the given time.
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

// CachedEntries returns the kept entries from an offset on, or a refusal where some of them are not kept.
func (r *FallbackLog) CachedEntries(from id.Offset, now time.Time) (LogPage, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.logReadAt.IsZero() {
		return LogPage{}, apierror.New(apierror.NotFound, "this host has heard nothing of the log yet")
	}
	first := r.nextOffset
	if len(r.entries) > 0 {
		first = r.entries[0].Offset
	}
	if from < first || from > r.nextOffset {
		return LogPage{}, apierror.New(apierror.NotFound, "entries from offset %d on are not known here", from)
	}
	page := LogPage{FirstOffset: first, NextOffset: r.nextOffset, Age: now.Sub(r.logReadAt)}
	for _, entry := range r.entries {
		if entry.Offset >= from {
			page.Entries = append(page.Entries, entry)
		}
	}

	return page, nil
}

// RoundUpToMillis returns an age in whole milliseconds as hosts tell it to each other: rounded up, because an age that
// each of them rounds down never grows.
func RoundUpToMillis(age time.Duration) time.Duration {
	return (age + time.Millisecond - 1).Truncate(time.Millisecond)
}
