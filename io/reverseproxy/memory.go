package reverseproxy

import (
	"time"

	"cardamomward/core/id"
	"cardamomward/io/httpx"
	"cardamomward/io/upstreamclient"
)

const (
	// bodyCopies is how many copies of a body and of a transcript a request holds beside the server's: its own and the one in the
	// buffer that is sent to the upstream.
	bodyCopies = 2
	// bytesPerToken is the expected size of a token in a transcript, for the reservation before it is fetched.
	bytesPerToken = 4
	// maxExpectedBytes bounds the expected sizes of a transcript and of an output, since callers may name any number of tokens.
	maxExpectedBytes = 1 << 20
	// maxOutputBytes bounds the output of a turn that is retained.
	maxOutputBytes = 16 << 20
	// memoryWait is how long a response of an upstream waits for memory, during which it is not read, and memoryPollInterval how
	// often it tries.
	memoryWait         = time.Second
	memoryPollInterval = 20 * time.Millisecond
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

const (
	// uncountedOutputBytes is the size up to which the output of a turn is not counted; most outputs fit.
	uncountedOutputBytes = 8 << 10
	// outputCopies is the number of copies of a larger one: the buffer, the one that it grows from, and the one that is retained.
	outputCopies = 3
)

// reserveOutput makes room for the data of an event in the output of a turn that is retained, and reports false if there is none: an
// upstream may send events without end. What was reserved for the turn's tokens counts.
func (p *Proxy) reserveOutput(req *proxiedRequest, event upstreamclient.Event) bool {
	if !req.route.RetainsContext {
		return true
	}
	needed := len(req.output) + len(event.Data) + len("\n")
	switch {
	case needed > maxOutputBytes:
		return false
	case needed <= cap(req.output):
		return true
	}
	grown := max(needed, 2*cap(req.output))
	total := int64(outputCopies * grown)
	if missing := total - max(req.outputBytes, expectedBytes(req.MaxTokens)); grown > uncountedOutputBytes && missing > 0 {
		if !p.responseMemory().Reserve(req.remote, missing) {
			return false
		}
		req.outputBytes = total
	}
	req.output = append(make([]byte, 0, grown), req.output...)

	return true
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
