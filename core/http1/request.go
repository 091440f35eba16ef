package http1

import "errors"

// Limits bound a request.
type Limits struct {
	// HeadBytes bounds the request line with the header fields, in bytes, and separately the trailer fields with the chunk extensions.
	HeadBytes int
	// BodyBytes bounds the decoded body, in bytes.
	BodyBytes int64
}

// The errors of requests that are not accepted.
var (
	// ErrHeadTooLarge means that the head, the trailer or the chunk extensions exceed their limit.
	ErrHeadTooLarge = errors.New("the head of the request is too large")
	// ErrBodyTooLarge means that the body exceeds its limit, or would if it arrived as announced.
	ErrBodyTooLarge = errors.New("the body of the request is too large")
	// ErrMalformed means that the bytes are no request, or that its length is ambiguous.
	ErrMalformed = errors.New("the request is malformed")
	// ErrNoMemory means that the bytes that arrived do not fit into the memory for requests.
	ErrNoMemory = errors.New("the request does not fit into memory")
)

// Memory accounts for the buffers of a request.
type Memory interface {
	// Reserve is called before a buffer is allocated, and reports false if it does not fit.
	Reserve(bytes int64) bool
	// Release gives bytes back that were reserved.
	Release(bytes int64)
	// CanHold reports whether an announced body could fit if nothing else were held.
	CanHold(bytes int64) bool
}

// Request is one request as it arrives. Its zero value has read nothing.
//
// The head is kept with its framing made explicit: each line ends with CRLF, an expectation is left out, and a chunked body has become
// one of a known length. Whoever reads it next cannot take another place for its end.
type Request struct {
	phase phase
	// head holds the lines of the head that are complete and the beginning of the next one, which starts at lineStart.
	head      buffer
	lineStart int
	// headBytes were read of the head, also those that are not kept.
	headBytes int
	// fieldCount is the number of header fields that are kept.
	fieldCount int
	body       buffer
	// bodyLeft is what is left of a body of known length or of the present chunk.
	bodyLeft int64
	// finalBytes is the length of the body or, for a chunked one, the most that it may have.
	finalBytes   int64
	hasLength    bool
	isChunked    bool
	expectsReply bool
	emptyLines   int
	// chunkLine is the beginning of a line of the chunked framing, and overhead the bytes of extensions and trailer fields.
	chunkLine []byte
	overhead  int
}

type phase int

const (
	phaseHead phase = iota
	phaseBody
	phaseChunkLine
	phaseChunkData
	phaseChunkEnd
	phaseTrailer
	phaseComplete
)

const (
	// maxEmptyLines is the number of empty lines that may precede a request.
	maxEmptyLines = 1
	// maxChunkLine bounds the line of a chunk, with its extensions.
	maxChunkLine = 1 << 10
)

// Head returns the head as far as its lines are complete.
func (r *Request) Head() []byte {
	if r.phase == phaseHead {
		return r.head.data[:r.lineStart]
	}

	return r.head.data
}

// FieldCount returns the number of header fields that have arrived, without those that are dropped.
func (r *Request) FieldCount() int { return r.fieldCount }

// Body returns the decoded body as far as it has arrived.
func (r *Request) Body() []byte { return r.body.data }

// HasBegun reports whether a byte of the request has arrived.
func (r *Request) HasBegun() bool {
	return r.phase != phaseHead || len(r.head.data) > 0 || r.emptyLines > 0
}

// HasHead reports whether the head is complete.
func (r *Request) HasHead() bool { return r.phase != phaseHead }

// IsComplete reports whether the whole request has arrived.
func (r *Request) IsComplete() bool { return r.phase == phaseComplete }

// ExpectsReply reports whether the client waits for an interim response before it sends the body, none of which has arrived.
func (r *Request) ExpectsReply() bool {
	return r.expectsReply && r.phase != phaseHead && r.phase != phaseComplete && len(r.body.data) == 0
}

// HeldBytes returns the bytes that are reserved for the request.
func (r *Request) HeldBytes() int64 { return int64(cap(r.head.data)) + int64(cap(r.body.data)) }

// Feed takes the next bytes of the connection up to the end of the request, and returns how many it took. After an error the connection
// cannot be used any more.
func (r *Request) Feed(data []byte, limits Limits, memory Memory) (taken int, err error) {
	for taken < len(data) && r.phase != phaseComplete {
		n, err := r.feedPhase(data[taken:], limits, memory)
		taken += n
		if err != nil {
			return taken, err
		}
	}

	return taken, nil
}

// feedPhase takes bytes of the present phase.
func (r *Request) feedPhase(data []byte, limits Limits, memory Memory) (taken int, err error) {
	switch r.phase {
	case phaseHead:
		return r.feedHead(data, limits, memory)
	case phaseBody:
		return r.feedBody(data, memory, phaseComplete)
	case phaseChunkData:
		return r.feedBody(data, memory, phaseChunkEnd)
	case phaseChunkLine:
		return r.feedLine(data, limits, func(line []byte) error { return r.beginChunk(line, limits, memory) })
	case phaseChunkEnd:
		return r.feedLine(data, limits, r.endChunk)
	case phaseTrailer:
		return r.feedLine(data, limits, r.endTrailerLine(limits, memory))
	case phaseComplete:
	}

	return 0, nil
}

// feedBody takes bytes of the body or of a chunk, after which next follows.
func (r *Request) feedBody(data []byte, memory Memory, next phase) (taken int, err error) {
	part := data[:min(int64(len(data)), r.bodyLeft)]
	if err := r.body.append(part, r.finalBytes, memory); err != nil {
		return 0, err
	}
	if r.bodyLeft -= int64(len(part)); r.bodyLeft == 0 {
		r.phase = next
	}

	return len(part), nil
}

// beginBody checks the body that the head announces.
func (r *Request) beginBody(limits Limits, memory Memory) error {
	switch {
	case r.isChunked:
		r.phase, r.finalBytes = phaseChunkLine, limits.BodyBytes

		return nil
	case r.bodyLeft == 0:
		return r.complete(memory)
	default:
		r.phase, r.finalBytes = phaseBody, r.bodyLeft

		return r.checkAnnounced(r.bodyLeft, limits, memory)
	}
}

// checkAnnounced refuses a body that can be known to exceed its limit before it arrives.
func (r *Request) checkAnnounced(bytes int64, limits Limits, memory Memory) error {
	if bytes > limits.BodyBytes {
		return ErrBodyTooLarge
	}
	if !memory.CanHold(bytes) {
		return ErrNoMemory
	}

	return nil
}
