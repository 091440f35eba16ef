package http1

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strings"
)

// ErrMalformedResponse means that the bytes are no response, or that its length is ambiguous.
var ErrMalformedResponse = errors.New("the response is malformed")

// ResponseHead is the head of a response to a request.
type ResponseHead struct {
	Status int
	Reason string
	// Header holds the fields by their canonical names, without those of the transfer coding.
	Header  http.Header
	Framing Framing
	// Length is the length of the body in bytes, or -1 if the head does not state it.
	Length int64
	// Closes is set if the connection cannot be used after the response.
	Closes bool

	isVersion10 bool
	hasLength   bool
	isChunked   bool
}

// Framing defines the end of a body.
type Framing int

// Values of Framing.
const (
	// NoBody means that the response ends with its head.
	NoBody Framing = iota
	// ByLength means that the head states the length.
	ByLength
	// ByChunks means that the body has the chunked transfer coding.
	ByChunks
	// ByClose means that the body ends with its connection.
	ByClose
)

// IsInterim reports whether another response to the same request follows.
func (h *ResponseHead) IsInterim() bool { return h.Status < http.StatusOK }

// ParseResponseHead parses the head of the response to a request with the given method, from the status line to the empty line. Errors
// wrap ErrMalformedResponse.
func ParseResponseHead(data []byte, method string) (*ResponseHead, error) {
	line, rest := cutLine(data)
	head := &ResponseHead{Header: make(http.Header), Length: -1}
	if err := head.parseStatusLine(line); err != nil {
		return nil, err
	}
	for len(rest) > 0 {
		if line, rest = cutLine(rest); len(line) == 0 {
			break
		}
		if err := head.parseField(line); err != nil {
			return nil, err
		}
	}
	if len(line) > 0 || len(rest) > 0 {
		return nil, malformed("the head does not end with an empty line")
	}

	return head, head.determineFraming(method)
}

// CheckTrailerField returns an error if a line after the last chunk is no field.
func CheckTrailerField(line []byte) error {
	_, _, err := cutField(line)

	return err
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformedResponse, fmt.Sprintf(format, args...))
}

// cutLine returns the first line without its end, and what follows it.
func cutLine(data []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(data, []byte("\n"))

	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// statusEnd is the length of a status line without its reason phrase.
const statusEnd = len("HTTP/1.1 200")

// parseStatusLine accepts a version, a status of a known class and a reason phrase, which may be missing.
func (h *ResponseHead) parseStatusLine(line []byte) error {
	if len(line) < statusEnd || line[len(version11)] != ' ' || (len(line) > statusEnd && line[statusEnd] != ' ') {
		return malformed("the status line is %.40q", line)
	}
	version, digits := line[:len(version11)], line[len(version11)+1:statusEnd]
	h.isVersion10 = bytes.Equal(version, version10)
	if !h.isVersion10 && !bytes.Equal(version, version11) {
		return malformed("the version is %q", version)
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return malformed("the status is %q", digits)
		}
		h.Status = 10*h.Status + int(c-'0')
	}
	switch {
	case h.Status < http.StatusContinue || h.Status > maxStatus:
		return malformed("the status is %q", digits)
	case h.Status == http.StatusSwitchingProtocols:
		return malformed("the connection changes to a protocol that was not offered")
	case !isFieldValue(line[statusEnd:]):
		return malformed("the reason phrase has control characters")
	}
	h.Reason = string(bytes.TrimPrefix(line[statusEnd:], []byte(" ")))

	return nil
}

// maxStatus is the highest status of the last class.
const maxStatus = 599

// cutField returns the name of a field line and its value without the whitespace around it.
func cutField(line []byte) (name, value []byte, err error) {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !isToken(name) {
		return nil, nil, malformed("the name of a field is %.40q", name)
	}
	if !isFieldValue(value) {
		return nil, nil, malformed("the value of the field %.40q has control characters", name)
	}

	return name, bytes.Trim(value, " \t"), nil
}

// parseField adds a header field. Fields that decide where the response ends must be unambiguous: whoever reads another length takes bytes
// of one response for those of another.
func (h *ResponseHead) parseField(line []byte) error {
	name, value, err := cutField(line)
	if err != nil {
		return err
	}
	switch {
	case equalName(name, "content-length"):
		length, err := parseLength(value)
		if err != nil || length == math.MaxInt64 || h.hasLength {
			return malformed("the length is %.40q, or stated twice", value)
		}
		h.hasLength, h.Length = true, length
	case equalName(name, "transfer-encoding"):
		if h.isChunked || h.isVersion10 || !bytes.EqualFold(value, chunked) {
			return malformed("the transfer coding is %.40q, or stated twice", value)
		}
		h.isChunked = true

		return nil
	}
	key := http.CanonicalHeaderKey(string(name))
	h.Header[key] = append(h.Header[key], string(value))

	return nil
}

// determineFraming decides where the response ends, and whether its connection can be used afterwards.
func (h *ResponseHead) determineFraming(method string) error {
	if h.hasLength && h.isChunked {
		return malformed("the response has both a length and a transfer coding")
	}
	h.Closes = h.hasConnectionOption("close") || (h.isVersion10 && !h.hasConnectionOption("keep-alive"))
	isBodiless := h.IsInterim() || h.Status == http.StatusNoContent
	if isBodiless && (h.isChunked || h.Length > 0) {
		return malformed("a response with status %d announces a body", h.Status)
	}
	isTunnel := method == http.MethodConnect && h.Status < http.StatusMultipleChoices
	switch {
	case isBodiless || isTunnel || method == http.MethodHead || h.Status == http.StatusNotModified:
		h.Framing = NoBody
	case h.isChunked:
		h.Framing = ByChunks
	case h.hasLength:
		h.Framing = ByLength
	default:
		h.Framing, h.Closes = ByClose, true
	}

	return nil
}

// hasConnectionOption reports whether a Connection field lists an option.
func (h *ResponseHead) hasConnectionOption(option string) bool {
	for _, value := range h.Header["Connection"] {
		for listed := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(listed), option) {
				return true
			}
		}
	}

	return false
}

// CheckResponse returns an error that wraps ErrMalformedResponse for a response that a more tolerant reader has read, if its status is not
// that of a final response or the name of a field is none.
func CheckResponse(status int, header http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return malformed("the status is %d", status)
	}
	for name := range header {
		if !isToken([]byte(name)) {
			return malformed("the name of a field is %.40q", name)
		}
	}

	return nil
}
