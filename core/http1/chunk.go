package http1

import (
	"bytes"
	"strconv"
)

// maxChunkDigits bounds the digits of a chunk's size, so that it fits into 63 bits.
const maxChunkDigits = 15

// smallChunkBytes is the size up to which a chunk is not checked before it arrives: there may be one for each byte.
const smallChunkBytes = 4 << 10

// feedLine takes bytes up to the end of a line of the chunked framing, which is not kept.
func (r *Request) feedLine(data []byte, limits Limits, end func(line []byte) error) (taken int, err error) {
	part := data
	index := bytes.IndexByte(data, '\n')
	if index >= 0 {
		part = data[:index+1]
	}
	if len(r.chunkLine)+len(part) > min(maxChunkLine, limits.HeadBytes) {
		return 0, ErrHeadTooLarge
	}
	r.chunkLine = append(r.chunkLine, part...)
	if index < 0 {
		return len(part), nil
	}
	line, isEnded := bytes.CutSuffix(r.chunkLine, lineEnd)
	if !isEnded {
		return len(part), ErrMalformed
	}
	r.chunkLine = r.chunkLine[:0]

	return len(part), end(line)
}

// beginChunk interprets the line of a chunk.
func (r *Request) beginChunk(line []byte, limits Limits, memory Memory) error {
	digits, extension, hasExtension := bytes.Cut(line, []byte(";"))
	if hasExtension {
		if r.overhead += len(extension); r.overhead > limits.HeadBytes {
			return ErrHeadTooLarge
		}
		if !isFieldValue(extension) {
			return ErrMalformed
		}
	}
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > maxChunkDigits {
		return ErrMalformed
	}
	for _, c := range digits {
		if !isHexDigit(c) {
			return ErrMalformed
		}
	}
	size, err := strconv.ParseInt(string(digits), 16, 64)
	if err != nil {
		return ErrMalformed
	}
	if size == 0 {
		r.phase = phaseTrailer

		return nil
	}
	r.phase, r.bodyLeft = phaseChunkData, size
	total := int64(len(r.body.data)) + size
	if total <= limits.BodyBytes && size <= smallChunkBytes {
		return nil
	}

	return r.checkAnnounced(total, limits, memory)
}

// isHexDigit reports whether a character is a digit of a chunk's size, without the sign and the separators that numbers may have elsewhere.
func isHexDigit(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// endChunk expects nothing between a chunk and the end of its line.
func (r *Request) endChunk(line []byte) error {
	if len(line) > 0 {
		return ErrMalformed
	}
	r.phase = phaseChunkLine

	return nil
}

// endTrailerLine returns a function that interprets a line after the last chunk. Trailer fields are dropped.
func (r *Request) endTrailerLine(limits Limits, memory Memory) func(line []byte) error {
	return func(line []byte) error {
		if len(line) == 0 {
			return r.complete(memory)
		}
		if r.overhead += len(line); r.overhead > limits.HeadBytes {
			return ErrHeadTooLarge
		}
		name, value, hasColon := bytes.Cut(line, []byte(":"))
		if !hasColon || !isToken(name) || !isFieldValue(value) {
			return ErrMalformed
		}

		return nil
	}
}
