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
	// continueResponse asks a client for the body of its request. The response follows.
	continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")
)

// headPath returns the path of a head's target.
func headPath(head []byte) string {
	line, _, _ := bytes.Cut(head, lineEnd)
	fields := strings.Fields(string(line))
	if len(fields) < 2 { //nolint:mnd // the method and the target
		return ""
	}
	path, _, _ := strings.Cut(fields[1], "?")

	return path
}

// headerFields returns the header fields of the lines of a head that have arrived.
func headerFields(head []byte) http.Header {
	_, lines, _ := bytes.Cut(head, lineEnd)
	lines = append(bytes.Clone(lines), lineEnd...)
	// The fields before the end count.
	fields, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(lines))).ReadMIMEHeader()

	return http.Header(fields)
}
