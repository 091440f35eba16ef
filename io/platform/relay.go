package platform

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
)

const (
	// relayDelay is how much longer than its wait a read of the log may take before peers are asked.
	relayDelay = 300 * time.Millisecond
	// relayInterval is the pause between two questions to peers.
	relayInterval = 250 * time.Millisecond
	// relayMemory is how long peers are asked at once after the log has failed.
	relayMemory = 10 * time.Second
	// keptEntries bounds the entries that a host keeps for its peers.
	keptEntries = 4096
)

// PeerReader reads entries from peers that reach the log; the page says how old their knowledge is.
type PeerReader func(ctx context.Context, from id.Offset) (Page, error)

// Relay reads one stream from the log or, while the log does not answer, from peers, and keeps recent entries for them.
type Relay struct {
	Log   Log
	Peers PeerReader

	mu      sync.Mutex
	entries []Entry
	next    id.Offset
	heard   time.Time
	failed  time.Time
}

var _ Log = (*Relay)(nil)

// Append adds one entry to the log itself.
func (r *Relay) Append(ctx context.Context, stream id.Stream, data []byte) (id.Offset, error) {
	return r.Log.Append(ctx, stream, data)
}

// Read returns the first answer that brings news, from the log or from a peer.
func (r *Relay) Read(ctx context.Context, stream id.Stream, from id.Offset, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pages := make(chan Page, 2)
	failed := make(chan error, 1)
	asked := time.Now()
	go func() {
		page, err := r.Log.Read(ctx, stream, from, wait)
		if err != nil {
			failed <- err

			return
		}
		r.keep(page, asked)
		pages <- page
	}()
	go r.askPeers(ctx, from, asked, r.patience(asked, wait), pages)

	select {
	case page := <-pages:
		return page, nil
	case err := <-failed:
		r.note(time.Now())

		return r.orPeers(ctx, pages, err)
	case <-ctx.Done():
		r.note(time.Now())

		return Page{}, ctx.Err()
	}
}

// orPeers waits a moment for the peers after the log has failed.
func (r *Relay) orPeers(ctx context.Context, pages <-chan Page, err error) (Page, error) {
	timer := time.NewTimer(relayInterval)
	defer timer.Stop()
	select {
	case page := <-pages:
		return page, nil
	case <-timer.C:
	case <-ctx.Done():
	}

	return Page{}, err
}

// patience is how long the log has before peers are asked.
func (r *Relay) patience(now time.Time, wait time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.failed) < relayMemory {
		return 0
	}

	return wait + relayDelay
}

func (r *Relay) note(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = now
}

// askPeers asks until a peer brings news; the page's age counts from the start of the read.
func (r *Relay) askPeers(ctx context.Context, from id.Offset, start time.Time, patience time.Duration, pages chan<- Page) {
	sleep(ctx, patience)
	for ctx.Err() == nil {
		asked := time.Now()
		page, err := r.Peers(ctx, from)
		// A peer tells what was true before it answered, so the age is taken from the question.
		page.Age -= asked.Sub(start)
		if err == nil && r.news(page, from, start) {
			if patience > 0 {
				r.note(time.Now())
			}
			r.keep(page, start)
			pages <- page

			return
		}
		sleep(ctx, relayInterval)
	}
}

// news reports whether a peer's page holds entries or is fresher than what this host has heard. Without this, hosts
// that all miss the log would take each other's pages in place of its answers once it is back.
func (r *Relay) news(page Page, from id.Offset, start time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return page.Next > from || start.Add(-page.Age).Sub(r.heard) >= relayInterval
}

// keep remembers a page for peers that can't reach the log; the page's age counts from the given time.
func (r *Relay) keep(page Page, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if heard := at.Add(-page.Age); heard.After(r.heard) {
		r.heard = heard
	}
	for _, entry := range page.Entries {
		if entry.Offset < r.next {
			continue
		}
		r.entries = append(r.entries, entry)
		r.next = entry.Offset + 1
	}
	r.next = max(r.next, page.First)
	if drop := len(r.entries) - keptEntries; drop > 0 {
		r.entries = append([]Entry(nil), r.entries[drop:]...)
	}
}

// Recent returns the kept entries from an offset on, or a refusal where some of them are not kept.
func (r *Relay) Recent(from id.Offset, now time.Time) (Page, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard.IsZero() {
		return Page{}, apierror.New(apierror.NotFound, "this host has heard nothing of the log yet")
	}
	first := r.next
	if len(r.entries) > 0 {
		first = r.entries[0].Offset
	}
	if from < first || from > r.next {
		return Page{}, apierror.New(apierror.NotFound, "entries from offset %d on are not known here", from)
	}
	page := Page{First: first, Next: r.next, Age: now.Sub(r.heard)}
	for _, entry := range r.entries {
		if entry.Offset >= from {
			page.Entries = append(page.Entries, entry)
		}
	}

	return page, nil
}

// WholeMillis returns an age in whole milliseconds as hosts tell it to each other: rounded up, because an age that
// each of them rounds down never grows.
func WholeMillis(age time.Duration) time.Duration {
	return (age + time.Millisecond - 1).Truncate(time.Millisecond)
}
