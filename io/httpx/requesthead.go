package httpx

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strings"
)

var (
	lineEnd = []byte("\r\n")
	// endOfHead separates the head of a request from its body.
	endOfHead = []byte("\r\n\r\n")
	// continueResponse asks a caller for the body of its request. The response follows.
	continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")
)

// requestHead collects the head of a request as it is read, up to uncountedRequestBytes. Its zero value is empty.
type requestHead struct {
	data []byte
	// isComplete is set once the end of the head has been read.
	isComplete bool
}

// reset forgets the request, but keeps the buffer for the next one.
func (h *requestHead) reset() { h.data, h.isComplete = h.data[:0], false }

// add adds bytes that were read, and reports whether they end the head.
func (h *requestHead) add(read []byte) bool {
	for !h.isComplete && len(read) > 0 && len(h.data) < uncountedRequestBytes {
		line := read[:bytes.IndexByte(read, '\n')+1]
		if len(line) == 0 {
			line = read
		}
		h.data = append(h.data, line...)
		read = read[len(line):]
		if bytes.HasSuffix(h.data, endOfHead) {
			h.isComplete = true

			return true
		}
	}

	return false
}

// path returns the path of the request's target.
func (h *requestHead) path() string {
	line, _, _ := bytes.Cut(h.data, lineEnd)
	fields := strings.Fields(string(line))
	if len(fields) < 2 { //nolint:mnd // the method and the target
		return ""
	}
	path, _, _ := strings.Cut(fields[1], "?")

	return path
}

// fields returns the header fields, or those before one that is malformed or not read yet.
func (h *requestHead) fields() http.Header {
	_, lines, _ := bytes.Cut(h.data, lineEnd)
	lines = append(bytes.Clone(lines[:max(0, bytes.LastIndex(lines, lineEnd)+len(lineEnd))]), lineEnd...)
	// The fields before an error count.
	fields, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(lines))).ReadMIMEHeader()

	return http.Header(fields)
}
