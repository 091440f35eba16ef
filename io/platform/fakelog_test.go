package platform_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/io/platform"
)

var errUnreachable = errors.New("connection lost")

// maxEntry is the largest append that the log takes, in bytes.
const maxEntry = 8 << 20

// fakeLog keeps streams in memory and fails as it is told.
type fakeLog struct {
	mu      sync.Mutex
	streams map[id.Stream]*fakeStream
	// appends counts the accepted ones, attempts all.
	appends, attempts int
	// down refuses everything without effect; unreachable answers nothing.
	down, unreachable bool
	// readsDown refuses reads alone.
	readsDown bool
	// loseAnswers is how many of the next appends take effect without an answer.
	loseAnswers int
	// slow delays each answer.
	slow time.Duration
	// perSecond bounds the appends.
	perSecond int
	window    time.Time
	inWindow  int
}

type fakeStream struct {
	first   id.Offset
	entries [][]byte
	changed chan struct{}
}

func newFakeLog() *fakeLog { return &fakeLog{streams: make(map[id.Stream]*fakeStream)} }

func (l *fakeLog) set(change func(*fakeLog)) {
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

// expire drops the entries of a stream before first.
func (l *fakeLog) expire(name id.Stream, first id.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.entries = s.entries[first-s.first:]
	s.first = first
}

func (l *fakeLog) next(name id.Stream) id.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)

	return s.first + id.Offset(len(s.entries))
}

// wait returns why a request gets no normal answer.
func (l *fakeLog) wait(ctx context.Context) error {
	l.mu.Lock()
	slow, down, unreachable := l.slow, l.down, l.unreachable
	l.mu.Unlock()
	if unreachable {
		<-ctx.Done()

		return errUnreachable
	}
	if !pause(ctx, slow) {
		return errUnreachable
	}
	if down {
		return apierror.New(apierror.LogUnavailable, "the log is down")
	}

	return nil
}

func pause(ctx context.Context, d time.Duration) bool {
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
	l.set(func(l *fakeLog) { l.attempts++ })
	if err := l.wait(ctx); err != nil {
		return 0, err
	}
	if len(data) > maxEntry {
		return 0, errUnreachable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.window) >= time.Second {
		l.window, l.inWindow = now, 0
	}
	if l.inWindow++; l.perSecond > 0 && l.inWindow > l.perSecond {
		return 0, apierror.New(apierror.RateLimited, "too many appends").WithRetryAfter(time.Second)
	}
	s := l.stream(name)
	s.entries = append(s.entries, data)
	close(s.changed)
	s.changed = make(chan struct{})
	l.appends++
	if l.loseAnswers > 0 {
		l.loseAnswers--

		return 0, errUnreachable
	}

	return s.first + id.Offset(len(s.entries)-1), nil
}

func (l *fakeLog) Read(ctx context.Context, name id.Stream, from id.Offset, wait time.Duration) (platform.Page, error) {
	if err := l.wait(ctx); err != nil {
		return platform.Page{}, err
	}
	l.mu.Lock()
	readsDown := l.readsDown
	l.mu.Unlock()
	if readsDown {
		return platform.Page{}, apierror.New(apierror.LogUnavailable, "the log takes no reads")
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
			return platform.Page{}, errUnreachable
		case <-timer.C:
			return page, nil
		case <-changed:
		}
	}
}

func (l *fakeLog) page(name id.Stream, from id.Offset) (platform.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page := platform.Page{First: s.first, Next: s.first + id.Offset(len(s.entries))}
	for offset := max(from, s.first); offset < page.Next; offset++ {
		page.Entries = append(page.Entries, platform.Entry{Offset: offset, Data: s.entries[offset-s.first]})
	}

	return page, s.changed
}

// link is one host's way to the log, which may be cut, or hold answers back as a paused process does.
type link struct {
	log *fakeLog

	mu   sync.Mutex
	cut  bool
	held chan struct{}
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// hold keeps answers back for a while.
func (l *link) hold(d time.Duration) {
	held := make(chan struct{})
	l.mu.Lock()
	l.held = held
	l.mu.Unlock()
	time.Sleep(d)
	l.mu.Lock()
	l.held = nil
	l.mu.Unlock()
	close(held)
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.cut
}

func (l *link) await() {
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	if held != nil {
		<-held
	}
}

func (l *link) Append(ctx context.Context, name id.Stream, data []byte) (id.Offset, error) {
	l.await()
	if l.isCut() {
		<-ctx.Done()

		return 0, errUnreachable
	}
	offset, err := l.log.Append(ctx, name, data)
	l.await()
	if l.isCut() {
		return 0, errUnreachable
	}

	return offset, err
}

func (l *link) Read(ctx context.Context, name id.Stream, from id.Offset, wait time.Duration) (platform.Page, error) {
	l.await()
	if l.isCut() {
		<-ctx.Done()

		return platform.Page{}, errUnreachable
	}
	page, err := l.log.Read(ctx, name, from, wait)
	l.await()
	if l.isCut() {
		return platform.Page{}, errUnreachable
	}

	return page, err
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
