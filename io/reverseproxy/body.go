package reverseproxy

import (
	"bytes"
	"errors"
	"io"
	"time"
)

const (
	// maxBufferedBodyBytes limits a response body that is buffered before it is forwarded.
	maxBufferedBodyBytes = 16 << 20
	// firstSegmentBytes is the size of the first segment of a body of unknown length, and maxSegmentBytes that of the later ones.
	firstSegmentBytes = 4 << 10
	maxSegmentBytes   = 64 << 10
)

// responseBody is the body of a response in segments, which are allocated as its bytes arrive: a buffer that grows by copying takes up to
// three times as much, and one of an announced size takes it before anything has arrived.
type responseBody struct {
	segments [][]byte
	length   int
}

// reader returns a reader of the whole body.
func (b *responseBody) reader() io.Reader {
	readers := make([]io.Reader, 0, len(b.segments))
	for _, segment := range b.segments {
		readers = append(readers, bytes.NewReader(segment))
	}

	return io.MultiReader(readers...)
}

// readSegment reads a segment of at most some bytes, and returns io.EOF after the last one.
func (b *responseBody) readSegment(inner io.Reader, bytes int64) error {
	segment, n, err := make([]byte, bytes), 0, error(nil)
	for n < len(segment) && err == nil {
		read := 0
		read, err = inner.Read(segment[n:])
		n += read
	}
	if n > 0 {
		b.segments = append(b.segments, segment[:n])
		b.length += n
	}

	return err
}

// bodyReader reads response bodies and reserves memory for them. While there is none, it does not read, so that the upstream is held back.
type bodyReader struct {
	proxy    *Proxy
	remote   string
	reserved int64
}

// readWhole reads a body of unknown length, of at most maxBufferedBodyBytes.
func (r *bodyReader) readWhole(inner io.Reader) (*responseBody, error) {
	body := &responseBody{}
	for {
		size := int64(min(max(firstSegmentBytes, body.length), maxSegmentBytes))
		if !r.awaitMemory(size) {
			return nil, io.ErrShortBuffer
		}
		err := body.readSegment(inner, size)
		switch {
		case body.length > maxBufferedBodyBytes:
			return nil, io.ErrShortBuffer
		case err == io.EOF: //nolint:errorlint // bodies return io.EOF itself
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// readExactly reads a body of a known length once there is memory for all of it. Many bodies that are read at the same time would
// otherwise each hold a part and wait for the rest.
func (r *bodyReader) readExactly(inner io.Reader, length int64) (*responseBody, error) {
	if !r.awaitMemory(length) {
		return nil, io.ErrShortBuffer
	}
	body := &responseBody{}
	for left := length; left > 0; left = length - int64(body.length) {
		err := body.readSegment(inner, min(left, maxSegmentBytes))
		if isComplete := int64(body.length) == length; err != nil && !isComplete {
			return nil, errors.Join(io.ErrUnexpectedEOF, err)
		}
	}

	return body, nil
}

// awaitMemory reserves bytes, and reports false if there is no memory for them within memoryWait.
func (r *bodyReader) awaitMemory(bytes int64) bool {
	for waitUntil := r.proxy.Now().Add(memoryWait); !r.proxy.responseMemory().ReserveResponse(r.remote, bytes); {
		if !r.proxy.Now().Before(waitUntil) {
			return false
		}
		time.Sleep(memoryPollInterval)
	}
	r.reserved += bytes

	return true
}

// release gives the memory of a response back that is not forwarded.
func (r *bodyReader) release() { r.proxy.responseMemory().Release(r.remote, r.reserved) }
