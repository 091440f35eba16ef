package caller

import (
	"context"
	"net"
	"sync"

	"cardamomward/core/id"
)

// InflightRequests tracks running requests, so that they can be cancelled; its zero value is ready to use.
type InflightRequests struct {
	mu         sync.Mutex
	lastNumber uint64
	requests   map[uint64]inflightRequest
}

// inflightRequest is one running request.
type inflightRequest struct {
	key    id.APIKey
	remote net.Addr
	cancel context.CancelCauseFunc
}

// Track adds a request of a key from a remote address. It returns the request's cancellable context and a function that
// removes the request.
func (f *InflightRequests) Track(ctx context.Context, key id.APIKey, remote net.Addr) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[uint64]inflightRequest)
	}
	f.lastNumber++
	number := f.lastNumber
	f.requests[number] = inflightRequest{key: key, remote: remote, cancel: cancel}

	return ctx, func() {
		cancel(nil)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.requests, number)
	}
}

// CancelByKey cancels the requests of all keys for which isWithdrawn returns true.
func (f *InflightRequests) CancelByKey(isWithdrawn func(id.APIKey) bool, cause error) {
	cancelByKey := make(map[id.APIKey]bool)
	f.cancelIf(cause, func(r inflightRequest) bool {
		cancelKey, ok := cancelByKey[r.key]
		if !ok {
			cancelKey = isWithdrawn(r.key)
			cancelByKey[r.key] = cancelKey
		}

		return cancelKey
	})
}

// CancelDisconnected cancels the requests of remote addresses for which isDisconnected returns true.
func (f *InflightRequests) CancelDisconnected(isDisconnected func(net.Addr) bool, cause error) {
	f.cancelIf(cause, func(r inflightRequest) bool { return isDisconnected(r.remote) })
}

// cancelIf evaluates condition on a copy of the requests without holding the lock, so that condition may take other
// locks.
func (f *InflightRequests) cancelIf(cause error, condition func(inflightRequest) bool) {
	f.mu.Lock()
	requests := make([]inflightRequest, 0, len(f.requests))
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

// Len returns the number of running requests.
func (f *InflightRequests) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.requests)
}
