package engine

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/stall"
)

// guard cancels a stream whose watch finds it silent or stalled.
type guard struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	watch *stall.Detector
	timer *time.Timer
	last  time.Time
	done  bool
}

func watchStream(watch *stall.Detector, cancel context.CancelCauseFunc) *guard {
	g := &guard{cancel: cancel, watch: watch}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, next := watch.Check(time.Now())
	g.timer = time.AfterFunc(next, g.check)

	return g
}

func (g *guard) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.done {
		return
	}
	verdict, next := g.watch.Check(time.Now())
	switch verdict {
	case stall.Silent:
		g.cancel(ErrSilent.New("nothing came within the deadline"))
	case stall.Stalled:
		g.cancel(ErrStalled.New("no token within the deadline"))
	default:
		g.timer.Reset(next)
	}
}

func (g *guard) alive() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watch.RecordKeepalive(time.Now())
}

// token notes a token and its time for the metrics.
func (g *guard) token(call *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.watch.RecordToken(now)
	if _, next := g.watch.Check(now); !g.done {
		g.timer.Reset(next)
	}
	switch {
	case call.next == 0:
		firstToken.observe(now.Sub(call.started))
	case !g.last.IsZero():
		betweenTokens.observe(now.Sub(g.last))
	}
	g.last = now
}

func (g *guard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = true
	g.timer.Stop()
}
