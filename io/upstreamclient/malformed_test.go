package upstreamclient_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"cardamomward/io/upstreamclient"
)

// smuggled is a response with the id of the request inside another one.
var smuggled = formatResponse("mine", "smuggled")

const (
	named       = "Request-Id: mine\r\n"
	statusLine  = "HTTP/1.1 200 OK\r\n"
	chunkedHead = statusLine + named + "Transfer-Encoding: chunked\r\n\r\n"
)

// malformedResponses are responses that a recipient rejects according to RFC 9112 and RFC 9110, or that two readers could read in two ways.
var malformedResponses = map[string]string{
	"status 000":                          "HTTP/1.1 000 None\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"status 000 around a response":        "HTTP/1.1 000 None\r\n" + named + "Content-Length: 200\r\n\r\n" + smuggled,
	"status 000 before a response":        "HTTP/1.1 000 None\r\n\r\n" + smuggled,
	"status 099":                          "HTTP/1.1 099 None\r\n\r\n" + smuggled,
	"status 600":                          "HTTP/1.1 600 None\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"status 999":                          "HTTP/1.1 999 None\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"status with a sign":                  "HTTP/1.1 +20 OK\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"status of two digits":                "HTTP/1.1 20 OK\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"status of four digits":               "HTTP/1.1 2000 OK\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"status after two spaces":             "HTTP/1.1  200 OK\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"control byte in the reason":          "HTTP/1.1 200 O\x00K\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"carriage return in the reason":       "HTTP/1.1 200 O\rK\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"version 2.0":                         "HTTP/2.0 200 OK\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"version 1.10":                        "HTTP/1.10 200 OK\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"version in lower case":               "http/1.1 200 OK\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"empty line before the head":          "\r\n" + statusLine + named + "Content-Length: 4\r\n\r\ndone",
	"switching protocols":                 "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n" + smuggled,
	"interim with a length":               "HTTP/1.1 103 Early Hints\r\nContent-Length: 200\r\n\r\n" + smuggled,
	"interim with a coding":               "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggled,
	"no content with a length":            "HTTP/1.1 204 No Content\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"no content with a coding":            "HTTP/1.1 204 No Content\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"space after the length's name":       statusLine + named + "Content-Length : 4\r\n\r\ndone and more",
	"tab after the length's name":         statusLine + named + "Content-Length\t: 4\r\n\r\ndone and more",
	"space after the coding's name":       statusLine + named + "Transfer-Encoding : chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"space in a name":                     statusLine + named + "Bad Name: x\r\nContent-Length: 4\r\n\r\ndone",
	"space before a name":                 "HTTP/1.1 200 OK\r\n Bad: x\r\n" + named + "Content-Length: 4\r\n\r\ndone",
	"space after a name":                  statusLine + named + "Bad : x\r\nContent-Length: 4\r\n\r\ndone",
	"zero byte in a name":                 statusLine + named + "Ba\x00d: x\r\nContent-Length: 4\r\n\r\ndone",
	"control byte in a name":              statusLine + named + "Ba\x01d: x\r\nContent-Length: 4\r\n\r\ndone",
	"delete in a name":                    statusLine + named + "Ba\x7fd: x\r\nContent-Length: 4\r\n\r\ndone",
	"separator in a name":                 statusLine + named + "Ba(d): x\r\nContent-Length: 4\r\n\r\ndone",
	"byte above ASCII in a name":          statusLine + named + "B\xe4d: x\r\nContent-Length: 4\r\n\r\ndone",
	"no name":                             statusLine + named + ": x\r\nContent-Length: 4\r\n\r\ndone",
	"no colon":                            statusLine + named + "Bad\r\nContent-Length: 4\r\n\r\ndone",
	"zero byte in a value":                statusLine + named + "Bad: a\x00b\r\nContent-Length: 4\r\n\r\ndone",
	"carriage return in a value":          statusLine + named + "Bad: a\rContent-Length: 9\r\nContent-Length: 4\r\n\r\ndone",
	"continued value":                     statusLine + named + "Bad: a\r\n Content-Length: 9\r\nContent-Length: 4\r\n\r\ndone",
	"two lengths":                         statusLine + named + "Content-Length: 4\r\nContent-Length: 5\r\n\r\ndone1",
	"length and coding":                   statusLine + named + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"coding and length":                   statusLine + named + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"length with a sign":                  statusLine + named + "Content-Length: +4\r\n\r\ndone",
	"negative length":                     statusLine + named + "Content-Length: -4\r\n\r\ndone",
	"hexadecimal length":                  statusLine + named + "Content-Length: 0x4\r\n\r\ndone",
	"length of 64 bits":                   statusLine + named + "Content-Length: 9223372036854775808\r\n\r\ndone",
	"empty length":                        statusLine + named + "Content-Length: \r\n\r\ndone",
	"list of lengths":                     statusLine + named + "Content-Length: 4, 5\r\n\r\ndone1",
	"unknown coding":                      statusLine + named + "Transfer-Encoding: gzip\r\n\r\ndone",
	"two codings":                         statusLine + named + "Transfer-Encoding: chunked, identity\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"coding stated twice":                 statusLine + named + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"coding of HTTP/1.0":                  "HTTP/1.0 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"chunk size with a sign":              chunkedHead + "+4\r\ndone\r\n0\r\n\r\n",
	"chunk size with a prefix":            chunkedHead + "0x4\r\ndone\r\n0\r\n\r\n",
	"chunk size with a separator":         chunkedHead + "0_4\r\ndone\r\n0\r\n\r\n",
	"chunk size too long":                 chunkedHead + "00000000000000004\r\ndone\r\n0\r\n\r\n",
	"no chunk size":                       chunkedHead + ";a\r\ndone\r\n0\r\n\r\n",
	"line feed alone after a chunk size":  chunkedHead + "4\ndone\r\n0\r\n\r\n",
	"line feed alone after a chunk":       chunkedHead + "4\r\ndone\n0\r\n\r\n",
	"bytes after a chunk":                 chunkedHead + "4\r\ndone and more\r\n0\r\n\r\n",
	"carriage return in an extension":     chunkedHead + "4;a\rb\r\ndone\r\n0\r\n\r\n",
	"space in a trailer's name":           chunkedHead + "4\r\ndone\r\n0\r\nBad Name: x\r\n\r\n",
	"zero byte in a trailer's value":      chunkedHead + "4\r\ndone\r\n0\r\nBad: \x00\r\n\r\n",
	"line feed alone after a trailer":     chunkedHead + "4\r\ndone\r\n0\r\nGood: x\n\r\n",
	"trailer without an end":              chunkedHead + "4\r\ndone\r\n0\r\nGood: x\r\n",
	"last chunk without an end":           chunkedHead + "4\r\ndone\r\n0\r\n",
	"head without an end":                 statusLine + named + "Content-Length: 4\r\n",
	"length that the body does not reach": statusLine + named + "Content-Length: 9\r\n\r\ndone",
	"chunk that the body does not reach":  chunkedHead + "9\r\ndone",
	"chunks without the last one":         chunkedHead + "4\r\ndone\r\n",
}

// A response that two readers could read in two ways let callers receive the bytes behind a body, the lines of the chunked coding, or
// another response inside its body.
func TestMalformedResponseIsLost(t *testing.T) {
	for name, response := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			listener := startServer(t, func(int) string { return response + closes })
			var client upstreamclient.Client
			req := newRequest(listener)
			x, err := client.Send(context.Background(), time.Now(), req)
			if err == nil {
				var body []byte
				body, err = io.ReadAll(x.Body)
				require.Error(t, err, "status %d, %v: %q", x.Status, x.Header, body)
				x.Abort()
			} else {
				require.True(t, errorx.IsOfType(err, upstreamclient.ErrResponseLost), "the request may have run: %v", err)
			}
			require.Zero(t, client.OpenConnCount(req.Address), "the connection is closed")
		})
	}
}

func TestUnusualResponsesAreRead(t *testing.T) {
	for name, response := range map[string]string{
		"no reason":                   "HTTP/1.1 200 \r\n" + named + "Content-Length: 4\r\n\r\ndone",
		"no reason and no space":      "HTTP/1.1 200\r\n" + named + "Content-Length: 4\r\n\r\ndone",
		"reason above ASCII":          "HTTP/1.1 200 T\xe4glich gut\r\n" + named + "Content-Length: 4\r\n\r\ndone",
		"line feeds alone":            "HTTP/1.1 200 OK\nRequest-Id: mine\nContent-Length: 4\n\ndone",
		"names in lower case":         "HTTP/1.1 200 OK\r\nrequest-id: mine\r\ncontent-length: 4\r\n\r\ndone",
		"no space before a value":     "HTTP/1.1 200 OK\r\nRequest-Id:mine\r\nContent-Length:4\r\n\r\ndone",
		"whitespace around a value":   "HTTP/1.1 200 OK\r\nRequest-Id: \t mine \t \r\nContent-Length:   4\t\r\n\r\ndone",
		"tabs and bytes in a value":   statusLine + named + "Odd: a\tb\xe4: c\r\nContent-Length: 4\r\n\r\ndone",
		"all characters of a name":    statusLine + named + "!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 4\r\n\r\ndone",
		"empty value":                 statusLine + named + "Empty:\r\nContent-Length: 4\r\n\r\ndone",
		"length with zeros":           statusLine + named + "Content-Length: 0004\r\n\r\ndone",
		"interim responses":           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + formatResponse("mine", "done"),
		"interim of length zero":      "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + formatResponse("mine", "done"),
		"coding in upper case":        statusLine + named + "Transfer-Encoding: CHUNKED\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"chunks":                      chunkedHead + "1\r\nd\r\n2\r\non\r\n1\r\ne\r\n0\r\n\r\n",
		"chunk sizes with zeros":      chunkedHead + "0004\r\ndone\r\n000\r\n\r\n",
		"extensions and a trailer":    chunkedHead + "4;a=b;c=\"d\"\r\ndone\r\n0;e\r\nGood: x\r\nOther: y\r\n\r\n",
		"announced trailer":           statusLine + named + "Trailer: Good\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nGood: x\r\n\r\n",
		"HTTP/1.0 with a length":      "HTTP/1.0 200 OK\r\n" + named + "Content-Length: 4\r\n\r\ndone",
		"HTTP/1.0 that is kept alive": "HTTP/1.0 200 OK\r\n" + named + "Connection: keep-alive\r\nContent-Length: 4\r\n\r\ndone",
		"connection options":          statusLine + named + "Connection: x, Close\r\nContent-Length: 4\r\n\r\ndone",
	} {
		t.Run(name, func(t *testing.T) {
			listener := startServer(t, func(int) string { return response })
			var client upstreamclient.Client
			x, err := client.Send(context.Background(), time.Now(), newRequest(listener))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, x.Status)
			body, err := io.ReadAll(x.Body)
			require.NoError(t, err)
			require.Equal(t, "done", string(body))
			x.Finish(time.Now())
		})
	}
}

func TestResponsesWithoutBodyEndWithTheirHead(t *testing.T) {
	for name, tt := range map[string]struct{ method, response string }{
		"no content":                {http.MethodPost, "HTTP/1.1 204 No Content\r\n" + named + "Keep-Alive: timeout=5\r\n\r\n"},
		"no content of length zero": {http.MethodPost, "HTTP/1.1 204 No Content\r\n" + named + "Content-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n"},
		"not modified":              {http.MethodPost, "HTTP/1.1 304 Not Modified\r\n" + named + "Content-Length: 9\r\nKeep-Alive: timeout=5\r\n\r\n"},
		"to HEAD with a length":     {http.MethodHead, statusLine + named + "Content-Length: 9\r\nKeep-Alive: timeout=5\r\n\r\n"},
		"to HEAD with a coding":     {http.MethodHead, statusLine + named + "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			listener := startServer(t, func(int) string { return tt.response })
			var client upstreamclient.Client
			for range 2 {
				req := newRequest(listener)
				req.Method = tt.method
				x, err := client.Send(context.Background(), time.Now(), req)
				require.NoError(t, err)
				body, err := io.ReadAll(x.Body)
				require.NoError(t, err)
				require.Empty(t, body)
				x.Finish(time.Now())
			}
			require.EqualValues(t, 1, client.DialCount, "the connection is used again")
		})
	}
}
