package reverseproxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"

	"cardamomward/core/inbound"
	"cardamomward/io/httpx"
	"cardamomward/io/upstreamclient"
)

// Guards against responses that count for more than they are and the rest of a segment, against those that count for less, and against a
// body that differs from what arrives.
func TestResponseHoldsItsSegments(t *testing.T) {
	const bodyBytes = 300_000
	text := strings.Repeat("0123456789", bodyBytes/10)
	budget := httpx.NewMemoryBudget(10*bodyBytes, time.Now)
	server, err := httpx.NewServer(httpx.Options{Address: "127.0.0.1:0", MaxBodyBytes: 1, Memory: budget})
	require.NoError(t, err)
	used := func() int64 {
		used, _, _ := budget.Usage()

		return used
	}
	held := make(chan [3]int64, 1)
	server.NoRoute(func(_ context.Context, c *app.RequestContext) {
		proxy := &Proxy{Memory: budget, Now: time.Now}
		before := used()
		kept := &bodyReader{proxy: proxy, remote: c.RemoteAddr().String()}
		body, keptErr := kept.readWhole(iotest.OneByteReader(strings.NewReader(text)))
		whole := used()
		dropped := &bodyReader{proxy: proxy, remote: kept.remote}
		_, droppedErr := dropped.readExactly(iotest.DataErrReader(strings.NewReader("partial")), bodyBytes)
		dropped.release()
		if keptErr != nil || droppedErr == nil {
			whole = 0
		}
		if read, err := io.ReadAll(body.reader()); err != nil || string(read) != text || body.length != bodyBytes {
			whole = 0
		}
		held <- [3]int64{before, whole, used()}
	})
	server.Start()
	t.Cleanup(server.Abort)
	resp, err := http.Get("http://" + server.Address()) //nolint:noctx // a test
	require.NoError(t, err)
	resp.Body.Close()
	values := <-held
	require.Zero(t, values[0])
	require.GreaterOrEqual(t, values[1], int64(bodyBytes))
	require.Less(t, values[1], int64(bodyBytes+maxSegmentBytes))
	require.Equal(t, values[1], values[2], "a response that is not forwarded is given back")
}

// slowReader returns a part of a body at a time.
type slowReader struct{ inner io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)

	return r.inner.Read(p[:min(len(p), 64<<10)])
}

// Guards against bodies that are read at the same time, of which each holds a part of the memory and waits in vain for the rest.
func TestBodiesOfKnownLengthAreReadOneAfterAnotherWithoutMemoryForAll(t *testing.T) {
	const bodyBytes, requests = 512 << 10, 32
	budget := httpx.NewMemoryBudget(4*bodyBytes, time.Now)
	server, err := httpx.NewServer(httpx.Options{Address: "127.0.0.1:0", MaxBodyBytes: 1, Memory: budget})
	require.NoError(t, err)
	server.GET("/body", func(_ context.Context, c *app.RequestContext) {
		proxy := &Proxy{Memory: budget, Now: time.Now}
		sent := &sentRequest{Exchange: &upstreamclient.Exchange{
			Body: slowReader{strings.NewReader(strings.Repeat("x", bodyBytes))}, ContentLength: bodyBytes,
		}}
		body, err := proxy.readBody(&proxiedRequest{Request: &inbound.Request{Method: http.MethodPost}, remote: c.RemoteAddr().String()}, sent)
		if err != nil || body.length != bodyBytes {
			c.SetStatusCode(http.StatusBadGateway)
		}
	})
	server.Start()
	t.Cleanup(server.Abort)
	statuses := make(chan int, requests)
	for range requests {
		go func() {
			resp, err := http.Get("http://" + server.Address() + "/body") //nolint:noctx // a test
			if err != nil {
				statuses <- 0

				return
			}
			resp.Body.Close()
			statuses <- resp.StatusCode
		}()
	}
	for range requests {
		require.Equal(t, http.StatusOK, <-statuses)
	}
}
