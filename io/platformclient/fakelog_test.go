package platformclient_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/io/platformclient"
)

var errUnreachable = errors.New("connection lost")

// maxEntryBytes is the largest append that the log accepts.
const maxEntryBytes = 8 << 20

// fakeLog is a log in memory with configurable faults.
type fakeLog struct {
	mu      sync.Mutex
	streams map[id.Stream]*fakeStream
	// appends counts accepted appends, appendAttempts all.
	appends, appendAttempts int
	// down rejects everything without effect; unreachable responds to nothing.
	down, unreachable bool
	// readsDown rejects reads only.
	readsDown bool
	// lostResponses is the number of next appends that take effect without a response.
	lostResponses int
	// responseDelay delays each response.
	responseDelay time.Duration
	// maxAppendsPerSecond bounds the appends; 0 means no limit.
	maxAppendsPerSecond int
	windowStart         time.Time
	appendsInWindow     int
}

type fakeStream struct {
	first   id.Offset
	entries [][]byte
	changed chan struct{}
}

func newFakeLog() *fakeLog { return &fakeLog{streams: make(map[id.Stream]*fakeStream)} }

func (l *fakeLog) configure(change func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *fakeLog) stream(name id.Stream) *fakeStream {
	s, ok := l.streams[name]
	if !ok {
		s = &fakeStream{changed: make(chan struct{})}
		l.streams[name] = s
	}

	return s
}

// expireBefore drops the entries of a stream before first.
func (l *fakeLog) expireBefore(name id.Stream, first id.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.entries = s.entries[first-s.first:]
	s.first = first
}

func (l *fakeLog) nextOffset(name id.Stream) id.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)

	return s.first + id.Offset(len(s.entries))
}

// respond waits for the response delay and returns the error that the configured fault causes, if any.
func (l *fakeLog) respond(ctx context.Context) error {
	l.mu.Lock()
	responseDelay, down, unreachable := l.responseDelay, l.down, l.unreachable
	l.mu.Unlock()
	if unreachable {
		<-ctx.Done()

		return errUnreachable
	}
	if !sleepContext(ctx, responseDelay) {
		return errUnreachable
	}
	if down {
		return apierror.New(apierror.LogUnavailable, "the log is down")
	}

	return nil
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (l *fakeLog) Append(ctx context.Context, name id.Stream, data []byte) (id.Offset, error) {
	l.configure(func(l *fakeLog) { l.appendAttempts++ })
	if err := l.respond(ctx); err != nil {
		return 0, err
	}
	if len(data) > maxEntryBytes {
		return 0, errUnreachable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.appendsInWindow = now, 0
	}
	if l.appendsInWindow++; l.maxAppendsPerSecond > 0 && l.appendsInWindow > l.maxAppendsPerSecond {
		return 0, apierror.New(apierror.RateLimited, "too many appends").WithRetryAfter(time.Second)
	}
	s := l.stream(name)
	s.entries = append(s.entries, data)
	close(s.changed)
	s.changed = make(chan struct{})
	l.appends++
	if l.lostResponses > 0 {
		l.lostResponses--

		return 0, errUnreachable
	}

	return s.first + id.Offset(len(s.entries)-1), nil
}

func (l *fakeLog) Read(ctx context.Context, name id.Stream, from id.Offset, wait time.Duration) (platformclient.LogPage, error) {
	if err := l.respond(ctx); err != nil {
		return platformclient.LogPage{}, err
	}
	l.mu.Lock()
	readsDown := l.readsDown
	l.mu.Unlock()
	if readsDown {
		return platformclient.LogPage{}, apierror.New(apierror.LogUnavailable, "the log takes no reads")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed := l.page(name, from)
		if len(page.Entries) > 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return platformclient.LogPage{}, errUnreachable
		case <-timer.C:
			return page, nil
		case <-changed:
		}
	}
}

func (l *fakeLog) page(name id.Stream, from id.Offset) (platformclient.LogPage, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page := platformclient.LogPage{FirstOffset: s.first, NextOffset: s.first + id.Offset(len(s.entries))}
	for offset := max(from, s.first); offset < page.NextOffset; offset++ {
		page.Entries = append(page.Entries, platformclient.LogEntry{Offset: offset, Data: s.entries[offset-s.first]})
	}

	return page, s.changed
}

// logLink is one host's connection to the log. It can be disconnected, or delay responses as a paused process does.
type logLink struct {
	log *fakeLog

	mu           sync.Mutex
	disconnected bool
	released     chan struct{}
}

func (l *logLink) setDisconnected(disconnected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = disconnected
}

// delayResponses delays requests and responses until d has passed.
func (l *logLink) delayResponses(d time.Duration) {
	released := make(chan struct{})
	l.mu.Lock()
	l.released = released
	l.mu.Unlock()
	time.Sleep(d)
	l.mu.Lock()
	l.released = nil
	l.mu.Unlock()
	close(released)
}

func (l *logLink) isDisconnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.disconnected
}

func (l *logLink) awaitRelease() {
	l.mu.Lock()
	released := l.released
	l.mu.Unlock()
	if released != nil {
		<-released
	}
}

func (l *logLink) Append(ctx context.Context, name id.Stream, data []byte) (id.Offset, error) {
	l.awaitRelease()
	if l.isDisconnected() {
		<-ctx.Done()

		return 0, errUnreachable
	}
	offset, err := l.log.Append(ctx, name, data)
	l.awaitRelease()
	if l.isDisconnected() {
		return 0, errUnreachable
	}

	return offset, err
}

func (l *logLink) Read(ctx context.Context, name id.Stream, from id.Offset, wait time.Duration) (platformclient.LogPage, error) {
	l.awaitRelease()
	if l.isDisconnected() {
		<-ctx.Done()

		return platformclient.LogPage{}, errUnreachable
	}
	page, err := l.log.Read(ctx, name, from, wait)
	l.awaitRelease()
	if l.isDisconnected() {
		return platformclient.LogPage{}, errUnreachable
	}

	return page, err
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
