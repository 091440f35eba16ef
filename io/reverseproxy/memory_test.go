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

	"cardamomward/io/httpx"
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
