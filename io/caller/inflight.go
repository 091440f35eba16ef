package caller

import (
	"context"
	"sync"

	"cardamomward/core/id"
)

// Inflight tracks the requests under way by key; its zero value is empty.
type Inflight struct {
	mu    sync.Mutex
	next  uint64
	calls map[id.Key]map[uint64]context.CancelCauseFunc
}

// Begin tracks a request until the returned function is called.
func (f *Inflight) Begin(ctx context.Context, key id.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == nil {
		f.calls = make(map[id.Key]map[uint64]context.CancelCauseFunc)
	}
	if f.calls[key] == nil {
		f.calls[key] = make(map[uint64]context.CancelCauseFunc)
	}
	f.next++
	number := f.next
	f.calls[key][number] = cancel

	return ctx, func() {
		cancel(nil)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.calls[key], number)
		if len(f.calls[key]) == 0 {
			delete(f.calls, key)
		}
	}
}

// CancelIf cancels the requests of all keys for which withdrawn is true.
func (f *Inflight) CancelIf(withdrawn func(id.Key) bool, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, calls := range f.calls {
		if !withdrawn(key) {
			continue
		}
		for _, cancel := range calls {
			cancel(cause)
		}
	}
}

// Len returns how many requests are under way.
func (f *Inflight) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, calls := range f.calls {
		total += len(calls)
	}

	return total
}
