package cluster

import (
	"context"
	"io"
	"net/http"
	"path"
	"sync"

	"github.com/twitchtv/twirp"

	"cardamomward/core/memorybudget"
	"cardamomward/io/httpx"
)

const (
	// callBodyCopies is the number of copies of a request's body at a host that serves a call: the server's buffer, the one that is
	// decoded, and what was decoded.
	callBodyCopies = 3
	// replyCopies is the number of copies of a transcript at a host that replies with it: the assembled one, the encoded reply, and the
	// buffer that is sent.
	replyCopies = 3
	// receivedReplyCopies is the number of copies of a reply at its receiver beside what it keeps: a buffer that grows by copying.
	receivedReplyCopies = 2
	// uncountedCallBytes is the size of the bodies that are not counted; the bodies of calls that contain no text are smaller.
	uncountedCallBytes = 8 << 10
)

// errNoMemory is the outcome of a call that does not fit into the memory budget. At a peer, the call has had no effect. A host whose own
// budget lacks the memory for a reply settles what it has reserved, as after any call that fails.
var errNoMemory = twirp.NewError(twirp.Unavailable, "the call does not fit into the memory budget")

// memoryClassOfCall returns the class of a call between hosts by the path of its method. A turn becomes durable through EndTurn at its
// owner, through Hold and Recall if the owner changes, and through Relay if the owner has no direct path to the store.
func memoryClassOfCall(urlPath string) memorybudget.Class {
	switch path.Base(urlPath) {
	case "EndTurn", "Hold", "Recall", "Relay":
		return memorybudget.Storage
	default:
		return memorybudget.Calls
	}
}

// callMemory is the memory of a call of a peer, which is given back when the response has been written.
type callMemory struct {
	budget *httpx.MemoryBudget
	remote string
}

type callMemoryKey struct{}

// provideCallMemory lets the handlers of calls reserve memory for their replies.
func (c *Cluster) provideCallMemory(inner http.Handler) http.Handler {
	if c.Memory == nil {
		return inner
	}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), callMemoryKey{}, callMemory{budget: c.Memory, remote: r.RemoteAddr})
		inner.ServeHTTP(w, r.WithContext(ctx))
	})
}

// reserveTranscript reserves memory for a reply with a transcript, before the transcript is assembled. What this host's own calls
// return is reserved by the requests that they are made for.
func reserveTranscript(ctx context.Context, bytes int) bool {
	memory, ok := ctx.Value(callMemoryKey{}).(callMemory)

	return !ok || memory.budget.Reserve(memory.remote, int64(replyCopies*bytes))
}

// countReply counts a reply that must not be refused, since a turn may depend on it.
func countReply(ctx context.Context, bytes int) {
	if memory, ok := ctx.Value(callMemoryKey{}).(callMemory); ok {
		memory.budget.Add(memory.remote, int64(replyCopies*bytes))
	}
}

// memoryTransport counts the bodies of calls to peers in the memory budget.
type memoryTransport struct {
	inner   http.RoundTripper
	cluster *Cluster
}

// RoundTrip makes a call if its request fits into the memory budget, and reads the response only if that does.
func (t *memoryTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	memory, class := t.cluster.Memory, memoryClassOfCall(req.URL.Path)
	if memory == nil {
		return t.inner.RoundTrip(req)
	}
	releaseRequest, ok := memory.Hold(class, countedBytes(req.ContentLength))
	if !ok {
		return nil, errNoMemory
	}
	resp, err := t.inner.RoundTrip(req)
	if err != nil {
		releaseRequest()

		return nil, err
	}
	releaseResponse, ok := memory.Hold(class, receivedReplyCopies*countedBytes(resp.ContentLength))
	if !ok {
		resp.Body.Close()
		releaseRequest()

		return nil, errNoMemory
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, release: sync.OnceFunc(func() { releaseRequest(); releaseResponse() })}

	return resp, nil
}

// countedBytes returns the bytes of a body that count.
func countedBytes(length int64) int64 {
	if length <= uncountedCallBytes {
		return 0
	}

	return length
}

// countedBody is the body of a response, whose memory is given back when it is closed.
type countedBody struct {
	io.ReadCloser

	release func()
}

// Close closes the body and gives its memory back.
func (b *countedBody) Close() error {
	b.release()

	return b.ReadCloser.Close()
}
