package relay

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
)

const (
	// framingHeader names, in a CONNECT request and its response, the framing of the upstream's bytes.
	framingHeader = "Relay-Framing"
	// lengthPrefixed frames bytes by their length. A frame without bytes is the regular end of the upstream's bytes: the end of the
	// connection alone does not tell it from the loss of the relay, whose kernel closes its connections as regularly.
	lengthPrefixed = "length-prefixed"
	// frameHeaderBytes is the size of the length before the bytes of a frame.
	frameHeaderBytes = 2
	// frameBufferBytes is the size of the buffer for frames that are read.
	frameBufferBytes = 2 << 10
)

// frameWriter writes each slice as a frame.
type frameWriter struct {
	io.Writer

	buf []byte
}

// Write writes at most copyBufferBytes as one frame.
func (w *frameWriter) Write(p []byte) (int, error) {
	w.buf = append(binary.BigEndian.AppendUint16(w.buf[:0], uint16(len(p))), p...)
	if n, err := w.Writer.Write(w.buf); err != nil {
		return max(0, n-frameHeaderBytes), err
	}

	return len(p), nil
}

// end writes the frame that ends the bytes.
func (w *frameWriter) end() error {
	_, err := w.Write(nil)

	return err
}

// framedConn is a relayed connection whose upstream's bytes are framed.
type framedConn struct {
	*net.TCPConn

	reader *bufio.Reader
	// remaining is the number of bytes that are left of the current frame.
	remaining int
	hasEnded  bool
}

func newFramedConn(conn *net.TCPConn) *framedConn {
	return &framedConn{TCPConn: conn, reader: bufio.NewReaderSize(conn, frameBufferBytes)}
}

// Read returns io.EOF only after the upstream's regular end; a connection that ends before breaks its response off.
func (c *framedConn) Read(p []byte) (int, error) {
	if c.hasEnded {
		return 0, io.EOF
	}
	if c.remaining == 0 {
		var header [frameHeaderBytes]byte
		if _, err := io.ReadFull(c.reader, header[:]); err != nil {
			return 0, unexpectedEnd(err)
		}
		c.remaining = int(binary.BigEndian.Uint16(header[:]))
		if c.remaining == 0 {
			c.hasEnded = true

			return 0, io.EOF
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n

	return n, unexpectedEnd(err)
}

// Buffered returns the number of bytes that were received and not read.
func (c *framedConn) Buffered() int { return c.reader.Buffered() }

// rawConn is a connection through a relay of an earlier release, which does not tell the end of the upstream's bytes from its own.
type rawConn struct{ *net.TCPConn }

// Read returns io.ErrUnexpectedEOF at the end of the connection.
func (c rawConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)

	return n, unexpectedEnd(err)
}

// unexpectedEnd returns io.ErrUnexpectedEOF for io.EOF, and other errors as they are.
func unexpectedEnd(err error) error {
	if err == io.EOF { //nolint:errorlint // connections and bufio return io.EOF itself
		return io.ErrUnexpectedEOF
	}

	return err
}
