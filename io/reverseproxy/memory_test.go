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

// Guards against responses that count for more than they are, as the buffer that is read into is larger than what arrives, and
// against those that count for nothing.
func TestResponseHoldsItsSizeAndItsCopy(t *testing.T) {
	const bodyBytes = 300_000
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
		kept := &budgetedReader{inner: iotest.OneByteReader(strings.NewReader(strings.Repeat("x", bodyBytes))), proxy: proxy, remote: c.RemoteAddr().String()}
		body, keptErr := readWhole(kept)
		whole := used()
		dropped := &budgetedReader{inner: iotest.DataErrReader(strings.NewReader("partial")), proxy: proxy, remote: kept.remote}
		_, droppedErr := io.ReadFull(dropped, make([]byte, len(body)))
		dropped.release()
		if keptErr != nil || droppedErr == nil {
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
	require.EqualValues(t, bufferGrowth*bodyBytes, values[1])
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
		if err != nil || len(body) != bodyBytes {
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
