package http1_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"cardamomward/io/http1"
)

const maxHeadBytes = 4 << 10

// endlessReader returns its bytes again and again, and counts what was read.
type endlessReader struct {
	text      string
	readBytes int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, r.text)
	r.readBytes += n

	return n, nil
}

func TestEndlessHeadOrTrailerIsRejected(t *testing.T) {
	const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tt := range map[string]struct{ start, repeated string }{
		"no line end":     {"", strings.Repeat("x", 256)},
		"field":           {"HTTP/1.1 200 OK\r\nLong: ", strings.Repeat("x", 256)},
		"fields":          {"HTTP/1.1 200 OK\r\n", "Name: x\r\n"},
		"line feeds":      {"HTTP/1.1 200 OK\r\n", "a:\n"},
		"chunk size":      {chunkedHead, "0"},
		"chunk extension": {chunkedHead + "1;", "x"},
		"extensions":      {chunkedHead, "1;" + strings.Repeat("x", 1000) + "\r\nd\r\n"},
		"trailer field":   {chunkedHead + "0\r\nLong: ", "x"},
		"trailer fields":  {chunkedHead + "0\r\n", "Name: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			endless := &endlessReader{text: tt.repeated}
			resp, err := http1.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(tt.start), endless)), http.MethodGet, maxHeadBytes)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			require.Error(t, err)
			require.Less(t, endless.readBytes, 32<<10)
		})
	}
}

// A body does not wait for bytes that follow what has arrived: an event reaches its caller at once.
func TestBodyReturnsWhatHasArrived(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone",
		"close":   "HTTP/1.1 200 OK\r\n\r\ndone",
	} {
		t.Run(name, func(t *testing.T) {
			blocked := iotest.ErrReader(io.ErrNoProgress)
			resp, err := http1.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(text), blocked)), http.MethodGet, maxHeadBytes)
			require.NoError(t, err)
			buf := make([]byte, 100)
			n, err := resp.Body.Read(buf)
			require.NoError(t, err)
			require.Equal(t, "done", string(buf[:n]))
		})
	}
}

func TestBodyThatArrivesWithEndOfConnectionIsWhole(t *testing.T) {
	body := strings.Repeat("x", 2*maxHeadBytes)
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 8192\r\n\r\n" + body,
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\n" + body + "\r\n0\r\n\r\n",
		"close":   "HTTP/1.1 200 OK\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := http1.ReadResponse(bufio.NewReaderSize(iotest.DataErrReader(strings.NewReader(text)), 64), http.MethodGet, maxHeadBytes)
			require.NoError(t, err)
			read, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, body, string(read))
		})
	}
}

// FuzzResponse reads any bytes as a response, in one piece and byte by byte. Invariants: there is no panic; what is accepted, net/http
// reads in the same way, from the status to the end of the body and of the response.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndonerest",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n4;a=b\r\ndone\r\n0\r\nA: b\r\n\r\nrest",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndone",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 204\r\nConnection: x, close\r\n\r\n",
		"HTTP/1.1 304 Not Modified\nContent-Length: 4\n\n",
		"HTTP/1.1 200 OK\r\nA: \t b \t\r\na:c\r\n\r\ndone",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ndone",
		"HTTP/1.1 000 OK\r\n\r\n",
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, isHead bool) {
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		reader := bufio.NewReader(bytes.NewReader(data))
		resp, err := http1.ReadResponse(reader, method, maxHeadBytes)
		inPieces, errInPieces := http1.ReadResponse(bufio.NewReader(iotest.OneByteReader(bytes.NewReader(data))), method, maxHeadBytes)
		require.Equal(t, err, errInPieces)
		if err != nil {
			return
		}
		require.Equal(t, resp.ResponseHead, inPieces.ResponseHead)
		body, err := io.ReadAll(resp.Body)
		bodyInPieces, errInPieces := io.ReadAll(inPieces.Body)
		require.Equal(t, err, errInPieces)
		require.Equal(t, body, bodyInPieces)

		// The library reads trailers only as far as its buffer holds them.
		libraryReader := bufio.NewReaderSize(bytes.NewReader(data), max(len(data), maxHeadBytes))
		library, libraryErr := http.ReadResponse(libraryReader, &http.Request{Method: method})
		if libraryErr != nil && resp.Header.Get("Trailer") != "" {
			// The library rejects announcements of some fields, which are dropped here as all trailers are.
			return
		}
		require.NoError(t, libraryErr)
		defer library.Body.Close()
		require.Equal(t, library.StatusCode, resp.Status)
		// The library interprets these fields and may remove them.
		for _, name := range []string{"Trailer", "Connection"} {
			resp.Header.Del(name)
			library.Header.Del(name)
		}
		require.Equal(t, library.Header, resp.Header)
		require.Equal(t, library.Close, resp.Closes)
		libraryBody, libraryErr := io.ReadAll(library.Body)
		if err != nil {
			return
		}
		require.NoError(t, libraryErr)
		require.Equal(t, libraryBody, body)
		rest, err := io.ReadAll(reader)
		require.NoError(t, err)
		libraryRest, err := io.ReadAll(libraryReader)
		require.NoError(t, err)
		require.Equal(t, string(libraryRest), string(rest))
	})
}
