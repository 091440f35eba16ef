package gatewayhost_test

import (
	"math"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/io/gatewayhost"
	"cardamomward/platform/standin"
)

const (
	// smallestHostMemory is the memory of the smallest hosts, in bytes.
	smallestHostMemory = 112 << 20
	// endlessAnswers is the number of endless answers that are read at the same time.
	endlessAnswers = 24
)

// measurePeakHeap returns by how much the heap grew at most while run was running, in bytes.
func measurePeakHeap(run func()) uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	before, peak := stats.HeapAlloc, stats.HeapAlloc
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	for {
		select {
		case <-done:
			return peak - before
		case <-time.After(5 * time.Millisecond):
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapAlloc)
		}
	}
}

func TestEndlessAnswersDoNotExhaustMemory(t *testing.T) {
	c := newTestCluster(t, 1)
	gatewayhost.LimitMemory(smallestHostMemory)
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	for _, upstream := range c.plainUpstreams {
		upstream.SetEndlessResponses(true)
	}
	grownBy := measurePeakHeap(func() {
		var tasks sync.WaitGroup
		for range endlessAnswers {
			tasks.Go(func() {
				response := c.do("host-0", standin.CallerRequest{Path: "/order/", APIKey: "secret"})
				require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, response.Status)
			})
		}
		tasks.Wait()
	})
	require.Less(t, grownBy, uint64(smallestHostMemory))
	for _, upstream := range c.plainUpstreams {
		upstream.SetEndlessResponses(false)
	}
	c.doUntilStatus("host-0", standin.CallerRequest{Path: "/order/", APIKey: "secret"}, http.StatusOK)
}
