package caller

import (
	"context"
	"net"
	"sync"

	"cardamomward/core/id"
)

// Inflight tracks the requests under way; its zero value is empty.
type Inflight struct {
	mu       sync.Mutex
	next     uint64
	requests map[uint64]request
}

// request is one request under way.
type request struct {
	key    id.APIKey
	remote net.Addr
	cancel context.CancelCauseFunc
}

// Begin tracks a request of a key from a remote address until the returned function is called.
func (f *Inflight) Begin(ctx context.Context, key id.APIKey, remote net.Addr) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[uint64]request)
	}
	f.next++
	number := f.next
	f.requests[number] = request{key: key, remote: remote, cancel: cancel}

	return ctx, func() {
		cancel(nil)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.requests, number)
	}
}

// CancelKeys cancels the requests of all keys for which withdrawn is true.
func (f *Inflight) CancelKeys(withdrawn func(id.APIKey) bool, cause error) {
	known := make(map[id.APIKey]bool)
	f.cancelIf(cause, func(r request) bool {
		answer, ok := known[r.key]
		if !ok {
			answer = withdrawn(r.key)
			known[r.key] = answer
		}

		return answer
	})
}

// CancelGone cancels the requests whose connections are gone.
func (f *Inflight) CancelGone(gone func(net.Addr) bool, cause error) {
	f.cancelIf(cause, func(r request) bool { return gone(r.remote) })
}

// cancelIf asks about a copy of the requests, so that the question may take other locks.
func (f *Inflight) cancelIf(cause error, condition func(request) bool) {
	f.mu.Lock()
	requests := make([]request, 0, len(f.requests))
	for _, r := range f.requests {
		requests = append(requests, r)
	}
	f.mu.Unlock()
	for _, r := range requests {
		if condition(r) {
			r.cancel(cause)
		}
	}
}

// Len returns how many requests are under way.
func (f *Inflight) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.requests)
}
