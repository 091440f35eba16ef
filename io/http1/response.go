package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"

	"cardamomward/core/http1"
)

// ErrHeadTooLarge means that the head or the trailer of a response exceeds its limit.
var ErrHeadTooLarge = errors.New("the head of the response is too large")

// Response is a response whose head has arrived.
type Response struct {
	*http1.ResponseHead

	// Body returns io.EOF only at the end that the framing of the response defines. If that is the end of the connection, a connection
	// that was reset can look like one that has ended: see EndsWithConnection.
	Body io.Reader
}

// EndsWithConnection reports whether the end of the body is that of its connection.
func (r *Response) EndsWithConnection() bool { return r.Framing == http1.ByClose }

// ReadResponse reads the head of the next response to a request with the given method, which may be an interim one, of at most
// maxHeadBytes. Errors are those of the reader, io.ErrUnexpectedEOF, ErrHeadTooLarge and http1.ErrMalformedResponse.
func ReadResponse(reader *bufio.Reader, method string, maxHeadBytes int) (*Response, error) {
	data, err := readHead(reader, maxHeadBytes)
	if err != nil {
		return nil, err
	}
	head, err := http1.ParseResponseHead(data, method)
	if err != nil {
		return nil, err
	}
	resp := &Response{ResponseHead: head}
	switch head.Framing {
	case http1.NoBody:
		resp.Body = http.NoBody
	case http1.ByLength:
		resp.Body = &lengthBody{inner: reader, remaining: head.Length}
	case http1.ByChunks:
		resp.Body = &chunkedBody{inner: reader, chunks: httputil.NewChunkedReader(reader), maxTrailerBytes: maxHeadBytes}
	case http1.ByClose:
		resp.Body = reader
	}

	return resp, nil
}

// readHead reads lines up to and including an empty one.
func readHead(reader *bufio.Reader, maxBytes int) ([]byte, error) {
	var head []byte
	for lineStart := 0; ; {
		part, err := reader.ReadSlice('\n')
		if len(head)+len(part) > maxBytes {
			return nil, ErrHeadTooLarge
		}
		head = append(head, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return nil, unexpectedEnd(err)
		case isEmptyLine(head[lineStart:]):
			return head, nil
		}
		lineStart = len(head)
	}
}

func isEmptyLine(line []byte) bool { return string(line) == "\r\n" || string(line) == "\n" }

// unexpectedEnd returns io.ErrUnexpectedEOF for io.EOF, and other errors as they are.
func unexpectedEnd(err error) error {
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		return io.ErrUnexpectedEOF
	}

	return err
}

// lengthBody is a body of a known length.
type lengthBody struct {
	inner     io.Reader
	remaining int64
}

// Read returns io.ErrUnexpectedEOF if the connection ends before the body.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.inner.Read(p[:min(int64(len(p)), b.remaining)])
	if b.remaining -= int64(n); b.remaining == 0 {
		// A reader may return its end with the last bytes.
		return n, nil
	}

	return n, unexpectedEnd(err)
}

// chunkedBody is a body with the chunked transfer coding, which ends with its trailer.
type chunkedBody struct {
	inner           *bufio.Reader
	chunks          io.Reader
	maxTrailerBytes int
	err             error
}

// Read returns io.EOF once the whole trailer has arrived.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF { //nolint:errorlint // the reader of chunks returns io.EOF itself
		err = b.readTrailer()
	}
	b.err = err

	return n, err
}

// readTrailer reads the fields after the last chunk, which are dropped, and returns io.EOF after the empty line that ends them.
func (b *chunkedBody) readTrailer() error {
	for total := 0; ; {
		line, err := b.readLine(b.maxTrailerBytes - total)
		switch {
		case err != nil:
			return unexpectedEnd(err)
		case len(line) == 0:
			return io.EOF
		}
		total += len(line)
		if err := http1.CheckTrailerField(line); err != nil {
			return err
		}
	}
}

var lineEnd = []byte("\r\n")

// readLine reads a line of the chunked coding, which ends with both characters, and returns it without them.
func (b *chunkedBody) readLine(maxBytes int) ([]byte, error) {
	var line []byte
	for {
		part, err := b.inner.ReadSlice('\n')
		if line = append(line, part...); len(line) > maxBytes {
			return nil, ErrHeadTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return nil, err
		default:
			if content, isEnded := bytes.CutSuffix(line, lineEnd); isEnded {
				return content, nil
			}

			return nil, http1.ErrMalformedResponse
		}
	}
}
