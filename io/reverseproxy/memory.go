package reverseproxy

import (
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
