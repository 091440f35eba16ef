package http1_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/stretchr/testify/require"

	"cardamomward/core/http1"
)

// FuzzRequest feeds any bytes in any parts, and lets the server library read each request that is accepted: it must find the same body and
// the same end. A request that the two read differently is how one client's bytes become another one's request.
func FuzzRequest(f *testing.F) {
	for _, data := range []string{
		get + "\r\n", get + "Content-Length: 5\r\n\r\nhello", get + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nT: v\r\n\r\n" + get + "\r\n",
		"\r\nPOST /a HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx", get + "Connection: close\r\nTrailer: A\r\nHost:\r\n\r\n",
		get + "Content-Length: 0\r\nContent-Type: multipart/form-data; boundary=b\r\n\r\n", "OPTIONS * HTTP/1.1\nA:\t\xff \n\n",
	} {
		f.Add([]byte(data), uint8(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, size uint8) {
		m := &memory{limit: 1 << 20}
		for len(data) > 0 {
			request, whole := &http1.Request{}, &http1.Request{}
			rest, err := feed(request, string(data), int(size)+1, m)
			wholeRest, wholeErr := feed(whole, string(data), len(data), &memory{limit: 1 << 20})
			require.Equal(t, wholeErr, err, "the parts do not matter")
			require.LessOrEqual(t, m.most, int64(3*(limits.HeadBytes+int(limits.BodyBytes))+4096))
			if err != nil || !request.IsComplete() {
				return
			}
			require.Equal(t, wholeRest, rest)
			require.Equal(t, string(whole.Head()), string(request.Head()))
			require.True(t, bytes.Equal(whole.Body(), request.Body()))
			requireSameReading(t, request)
			m.Release(request.HeldBytes())
			require.Zero(t, m.held)
			data = []byte(rest)
		}
	})
}

// requireSameReading requires that the library reads the request as it was fed.
func requireSameReading(t *testing.T, request *http1.Request) {
	t.Helper()
	reader := &wholeReader{data: append(bytes.Clone(request.Head()), request.Body()...)}
	var read protocol.Request
	require.NoError(t, req.ReadHeader(&read.Header, reader), "%q", request.Head())
	require.NoError(t, req.ReadLimitBody(&read, reader, 0, false, false), "%q", request.Head())
	require.Equal(t, string(request.Body()), string(read.Body()))
	require.Zero(t, reader.Len(), "the library sees the end elsewhere")
}

// wholeReader is a reader of the library that has all bytes.
type wholeReader struct{ data []byte }

func (r *wholeReader) Len() int       { return len(r.data) }
func (r *wholeReader) Release() error { return nil }

func (r *wholeReader) Peek(n int) ([]byte, error) {
	if n > len(r.data) {
		return nil, io.EOF
	}

	return r.data[:n], nil
}

func (r *wholeReader) Skip(n int) error {
	r.data = r.data[n:]

	return nil
}

func (r *wholeReader) ReadByte() (byte, error) {
	part, err := r.ReadBinary(1)
	if err != nil {
		return 0, err
	}

	return part[0], nil
}

func (r *wholeReader) ReadBinary(n int) ([]byte, error) {
	part, err := r.Peek(n)
	if err != nil {
		return nil, err
	}

	return bytes.Clone(part), r.Skip(n)
}
