package reverseproxy

import (
	"io"
	"time"

	"cardamomward/core/id"
	"cardamomward/io/httpx"
)

const (
	// bodyCopies is how many copies of a body and of a transcript a request holds beside the server's: its own and the one in the
	// buffer that is sent to the upstream.
	bodyCopies = 2
	// bytesPerToken is the expected size of a token in a transcript, for the reservation before it is fetched.
	bytesPerToken = 4
	// maxExpectedBytes bounds the expected sizes of a transcript and of an output, since callers may name any number of tokens.
	maxExpectedBytes = 1 << 20
	// memoryWait is how long a response of an upstream waits for memory, during which it is not read, and memoryPollInterval how
	// often it tries.
	memoryWait         = time.Second
	memoryPollInterval = 20 * time.Millisecond
	// bufferGrowth is how much larger than its content a growing buffer is with the old one that it is copied from.
	bufferGrowth = 2
)

// responseMemory returns what bounds responses.
func (p *Proxy) responseMemory() *httpx.MemoryBudget {
	if p.ResponseMemory != nil {
		return p.ResponseMemory
	}

	return p.Memory
}

// reserveBody reserves memory for the copies of the request's body.
func (p *Proxy) reserveBody(req *proxiedRequest, bytes int) *errorResponse {
	if !p.Memory.Reserve(req.remote, int64(bodyCopies*bytes)) {
		return notExecutedResponse("no-memory", retryDelay)
	}

	return nil
}

// reserveTranscript reserves memory for the transcript that the request continues and for its own output, by their tokens.
func (p *Proxy) reserveTranscript(req *proxiedRequest) *errorResponse {
	if !req.route.RetainsContext {
		return nil
	}
	req.transcriptBytes = expectedBytes(req.MaxTokens)
	if req.PreviousTurn != "" {
		req.transcriptBytes += bodyCopies * expectedBytes(req.PromptTokens)
	}
	if !p.Memory.Reserve(req.remote, req.transcriptBytes) {
		return notExecutedResponse("no-memory", retryDelay)
	}

	return nil
}

func expectedBytes(tokens id.Tokens) int64 {
	return int64(bytesPerToken * max(0, min(tokens, maxExpectedBytes/bytesPerToken)))
}

// adjustTranscript reserves what the fetched transcript is larger than was expected, or gives the rest back.
func (p *Proxy) adjustTranscript(req *proxiedRequest) *errorResponse {
	if !req.route.RetainsContext {
		return nil
	}
	actual := int64(bodyCopies*len(req.beginResult.PriorTranscript)) + expectedBytes(req.MaxTokens)
	switch {
	case actual < req.transcriptBytes:
		p.Memory.Release(req.remote, req.transcriptBytes-actual)
	case !p.Memory.Reserve(req.remote, actual-req.transcriptBytes):
		return notExecutedResponse("no-memory", retryDelay)
	}
	req.transcriptBytes = actual

	return nil
}

// budgetedReader reads a response body and reserves memory for it. While there is none, it does not read, so that the upstream is
// held back.
type budgetedReader struct {
	inner    io.Reader
	proxy    *Proxy
	remote   string
	reserved int64
}

func (r *budgetedReader) Read(p []byte) (int, error) {
	needed := int64(bufferGrowth * len(p))
	if !r.awaitMemory(needed) {
		return 0, io.ErrShortBuffer
	}
	n, err := r.inner.Read(p)
	r.proxy.responseMemory().Release(r.remote, needed-int64(bufferGrowth*n))
	r.reserved += int64(bufferGrowth * n)

	return n, err
}

// awaitMemory reserves bytes, and reports false if there is no memory for them within memoryWait.
func (r *budgetedReader) awaitMemory(bytes int64) bool {
	for waitUntil := r.proxy.Now().Add(memoryWait); !r.proxy.responseMemory().ReserveResponse(r.remote, bytes); {
		if !r.proxy.Now().Before(waitUntil) {
			return false
		}
		time.Sleep(memoryPollInterval)
	}

	return true
}

// readExactly reads a body of a known length into a buffer of that size, which is allocated once there is memory for all of it. Many
// bodies that are read at the same time would otherwise each hold a part and wait for the rest.
func (r *budgetedReader) readExactly(length int64) ([]byte, error) {
	if !r.awaitMemory(length) {
		return nil, io.ErrShortBuffer
	}
	r.reserved += length
	body := make([]byte, length)
	_, err := io.ReadFull(r.inner, body)

	return body, err
}

// release gives the memory of a response back that is not forwarded.
func (r *budgetedReader) release() { r.proxy.responseMemory().Release(r.remote, r.reserved) }
