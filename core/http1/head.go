package http1

import (
	"bytes"
	"math"
	"strconv"
)

var (
	lineEnd      = []byte("\r\n")
	version10    = []byte("HTTP/1.0")
	version11    = []byte("HTTP/1.1")
	chunked      = []byte("chunked")
	continuation = []byte("100-continue")
)

// feedHead takes bytes up to the end of a line of the head.
func (r *Request) feedHead(data []byte, limits Limits, memory Memory) (taken int, err error) {
	part := data
	end := bytes.IndexByte(data, '\n')
	if end >= 0 {
		part = data[:end+1]
	}
	if r.headBytes += len(part); r.headBytes > limits.HeadBytes {
		return 0, ErrHeadTooLarge
	}
	if err := r.head.append(part, 0, memory); err != nil {
		return 0, err
	}
	if end < 0 {
		return len(part), nil
	}
	line := bytes.TrimSuffix(r.head.data[r.lineStart:len(r.head.data)-1], []byte("\r"))
	keep, err := r.endHeadLine(line)
	if err != nil {
		return len(part), err
	}
	if len(line) == 0 && r.lineStart > 0 {
		r.head.data = r.head.data[:r.lineStart]
		if !r.isChunked {
			if err := r.head.append(lineEnd, 0, memory); err != nil {
				return len(part), err
			}
		}

		return len(part), r.beginBody(limits, memory)
	}
	if !keep {
		r.head.data = r.head.data[:r.lineStart]

		return len(part), nil
	}
	r.head.data = r.head.data[:r.lineStart+len(line)]
	if err := r.head.append(lineEnd, 0, memory); err != nil {
		return len(part), err
	}
	r.lineStart = len(r.head.data)

	return len(part), nil
}

// endHeadLine interprets a line of the head, and reports whether it is kept.
func (r *Request) endHeadLine(line []byte) (keep bool, err error) {
	switch {
	case len(line) > 0 && r.lineStart > 0:
		if keep, err = r.interpretField(line); keep {
			r.fieldCount++
		}

		return keep, err
	case len(line) > 0:
		return true, checkRequestLine(line)
	case r.lineStart == 0:
		if r.emptyLines++; r.emptyLines > maxEmptyLines {
			return false, ErrMalformed
		}
	}

	return false, nil
}

// checkRequestLine accepts a method, a target and a version that are separated by one space each.
func checkRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !isToken(method) || len(target) == 0 || (!bytes.Equal(version, version11) && !bytes.Equal(version, version10)) {
		return ErrMalformed
	}
	for _, c := range target {
		if c <= ' ' || c == 0x7f {
			return ErrMalformed
		}
	}

	return nil
}

// interpretField interprets a header field, and reports whether it is kept. Fields that decide where the request ends must be
// unambiguous: whoever reads another length takes a part of the body for the next request.
func (r *Request) interpretField(line []byte) (keep bool, err error) {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !isToken(name) || !isFieldValue(value) {
		return false, ErrMalformed
	}
	value = bytes.Trim(value, " \t")
	switch {
	case equalName(name, "content-length"):
		length, err := parseLength(value)
		if err != nil || r.hasLength || r.isChunked {
			return false, ErrMalformed
		}
		r.hasLength, r.bodyLeft = true, length

		return true, nil
	case equalName(name, "transfer-encoding"):
		if r.hasLength || r.isChunked || !bytes.EqualFold(value, chunked) || r.isVersion10() {
			return false, ErrMalformed
		}
		r.isChunked = true

		return false, nil
	case equalName(name, "trailer"):
		// Trailer fields are dropped, as a proxy may.
		return false, nil
	case equalName(name, "expect"):
		r.expectsReply = bytes.EqualFold(value, continuation)

		return !r.expectsReply, nil
	}

	return true, nil
}

func (r *Request) isVersion10() bool {
	line, _, _ := bytes.Cut(r.head.data, lineEnd)

	return bytes.HasSuffix(line, version10)
}

// complete ends the request. A chunked body has become one of a known length.
func (r *Request) complete(memory Memory) error {
	r.phase = phaseComplete
	if !r.isChunked {
		return nil
	}

	return r.head.append(append(strconv.AppendInt([]byte("Content-Length: "), int64(len(r.body.data)), 10), "\r\n\r\n"...), 0, memory)
}

// parseLength parses a body length of digits alone.
func parseLength(value []byte) (int64, error) {
	if len(value) == 0 {
		return 0, ErrMalformed
	}
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, ErrMalformed
		}
	}
	length, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || length == math.MaxInt64 {
		// The length is out of range, and so above any limit.
		return math.MaxInt64, nil //nolint:nilerr // the limit of bodies decides
	}

	return length, nil
}

func equalName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// isToken reports whether a name has only the characters of tokens.
func isToken(name []byte) bool {
	for _, c := range name {
		if !isTokenByte(c) {
			return false
		}
	}

	return len(name) > 0
}

func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}

	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

// isFieldValue reports whether a value has no control characters but tabs.
func isFieldValue(value []byte) bool {
	for _, c := range value {
		if (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}

	return true
}
