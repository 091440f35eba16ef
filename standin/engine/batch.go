package engine

import (
	"container/heap"
	"context"
	"sync"
)

// waiter is a request that waits for a place in the batch.
type waiter struct {
	priority int
	seq      uint64
	ready    chan struct{}
	index    int
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}

	return w[i].seq < w[j].seq
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	item, ok := x.(*waiter)
	if !ok {
		return
	}
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	item := old[len(old)-1]
	*w = old[:len(old)-1]
	item.index = -1

	return item
}

// batch admits a fixed number of requests at a time, the highest priority first.
type batch struct {
	mu      sync.Mutex
	slots   int
	running int
	seq     uint64
	queue   waiters
}

// enter waits for a place; it returns the error of ctx when that ends first.
func (b *batch) enter(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.slots && b.queue.Len() == 0 {
		b.running++
		b.mu.Unlock()

		return nil
	}
	b.seq++
	w := &waiter{priority: priority, seq: b.seq, ready: make(chan struct{})}
	heap.Push(&b.queue, w)
	b.mu.Unlock()

	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return b.abandon(ctx, w)
	}
}

// abandon leaves the queue, or gives back a place that was granted meanwhile.
func (b *batch) abandon(ctx context.Context, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.queue, w.index)

		return ctx.Err()
	}
	b.pass()

	return ctx.Err()
}

// leave gives a place back.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pass()
}

func (b *batch) pass() {
	if b.queue.Len() == 0 {
		b.running--

		return
	}
	if w, ok := heap.Pop(&b.queue).(*waiter); ok {
		close(w.ready)
	}
}

func (b *batch) counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.running, b.queue.Len()
}
