package engine

import (
	"container/heap"
	"context"
	"sync"
)

// waiter is a request that waits for admission to the batch.
type waiter struct {
	priority int
	seq      uint64
	ready    chan struct{}
	index    int
}

type waiterHeap []*waiter

func (w waiterHeap) Len() int { return len(w) }

func (w waiterHeap) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}

	return w[i].seq < w[j].seq
}

func (w waiterHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiterHeap) Push(x any) {
	item, ok := x.(*waiter)
	if !ok {
		return
	}
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop implements heap.Interface.
func (w *waiterHeap) Pop() any {
	old := *w
	item := old[len(old)-1]
	*w = old[:len(old)-1]
	item.index = -1

	return item
}

// batch is a semaphore with a priority queue: higher priorities first, then in order of arrival.
type batch struct {
	mu       sync.Mutex
	capacity int
	running  int
	seq      uint64
	queue    waiterHeap
}

// acquire waits until the batch admits the request; it returns the error of ctx if ctx ends first.
func (b *batch) acquire(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.capacity && b.queue.Len() == 0 {
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
		return b.cancelWait(ctx, w)
	}
}

// cancelWait removes the waiter from the queue, or releases the admission that it was granted in the meantime.
func (b *batch) cancelWait(ctx context.Context, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.queue, w.index)

		return ctx.Err()
	}
	b.releaseOrHandOver()

	return ctx.Err()
}

// release ends the admission of a request.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseOrHandOver()
}

func (b *batch) releaseOrHandOver() {
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
