package httpx_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"

	"cardamomward/core/memorybudget"
	"cardamomward/io/httpx"
)

const (
	classLimit = 8 << 20
	// classGuarantee is the guarantee of each class.
	classGuarantee = 1 << 20
	classCopies    = 3
)

// startClassServer starts a server of calls of two classes, and returns the memory that was held while each call was handled. Calls of
// /store are answered once resume is closed.
func startClassServer(t *testing.T) (server *httpx.Server, budget *httpx.MemoryBudget, handled chan int64, resume chan struct{}) {
	t.Helper()
	budget = httpx.NewMemoryBudget(classLimit, time.Now)
	for _, class := range []memorybudget.Class{memorybudget.Callers, memorybudget.Relays, memorybudget.Calls, memorybudget.Storage} {
		budget.Guarantee(class, classGuarantee)
	}
	server, err := httpx.NewServer(httpx.Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 64 << 20, Memory: budget, BodyCopies: classCopies,
		MemoryClass: func(path string) memorybudget.Class {
			if path == "/store" {
				return memorybudget.Storage
			}

			return memorybudget.Calls
		},
	})
	require.NoError(t, err)
	handled, resume = make(chan int64, 16), make(chan struct{})
	handle := func(c *app.RequestContext) {
		handled <- budget.UsedBy(memorybudget.Calls) + budget.UsedBy(memorybudget.Storage)
		c.SetStatusCode(http.StatusOK)
	}
	server.POST("/call", func(_ context.Context, c *app.RequestContext) { handle(c) })
	server.POST("/store", func(_ context.Context, c *app.RequestContext) {
		handle(c)
		<-resume
	})
	server.Start()
	t.Cleanup(server.Abort)

	return server, budget, handled, resume
}

// post sends a body, and returns the channel of the status of its response, 0 if there is none.
func post(server *httpx.Server, path string, bytes int) <-chan int {
	status := make(chan int, 1)
	go func() {
		resp, err := http.Post("http://"+server.Address()+path, "application/protobuf", strings.NewReader(strings.Repeat("x", bytes))) //nolint:noctx // a test
		if err != nil {
			status <- 0

			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()

	return status
}

// receive returns the next value of a channel within testTimeout.
func receive[T any](t *testing.T, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(testTimeout):
		require.Fail(t, "nothing was received")
		panic("unreachable")
	}
}

// Guards against a turn that is not stored since callers, relayed connections or other calls hold the memory, and against calls that
// are read without memory for all copies of their bodies.
func TestCallThatStoresTurnIsReadWhateverOthersHold(t *testing.T) {
	server, budget, handled, resume := startClassServer(t)
	require.Equal(t, http.StatusOK, receive(t, post(server, "/call", 1<<20)))
	require.InDelta(t, classCopies<<20, receive(t, handled), 64<<10)
	require.Eventually(t, func() bool { return budget.UsedBy(memorybudget.Calls) == 0 }, testTimeout, time.Millisecond)
	for _, class := range []memorybudget.Class{memorybudget.Callers, memorybudget.Relays, memorybudget.Calls} {
		for {
			if _, ok := budget.Hold(class, 64<<10); !ok {
				break
			}
		}
	}
	require.Equal(t, http.StatusServiceUnavailable, receive(t, post(server, "/call", 1<<20)))
	require.Empty(t, handled, "the call is not executed")
	first := post(server, "/store", 2<<20)
	held := receive(t, handled) - classGuarantee
	require.InDelta(t, 2*classCopies<<20, held, 64<<10, "it exceeds what its class is guaranteed")
	second := post(server, "/store", 2<<20)
	time.Sleep(200 * time.Millisecond)
	require.Empty(t, handled, "the second waits for the first")
	require.InDelta(t, 2*classCopies<<20, budget.UsedBy(memorybudget.Storage), 64<<10)
	close(resume)
	require.Equal(t, http.StatusOK, receive(t, first))
	require.Equal(t, http.StatusOK, receive(t, second))
	require.Eventually(t, func() bool { return budget.UsedBy(memorybudget.Storage) == 0 }, testTimeout, time.Millisecond)
}

// Guards against bytes without a connection that are not given back, and against a turn in memory that is refused.
func TestHeldBytesWithoutConnectionAreGivenBack(t *testing.T) {
	budget := httpx.NewMemoryBudget(classLimit, time.Now)
	release, ok := budget.Hold(memorybudget.Calls, classLimit)
	require.True(t, ok)
	_, ok = budget.Hold(memorybudget.Relays, 1)
	require.False(t, ok)
	releaseTurn, ok := budget.Hold(memorybudget.Storage, classLimit)
	require.True(t, ok)
	release()
	_, ok = budget.Hold(memorybudget.Relays, 1)
	require.False(t, ok, "the turn takes the rest")
	releaseTurn()
	used, _, refused := budget.Usage()
	require.Zero(t, used)
	require.EqualValues(t, 2, refused)
	var none *httpx.MemoryBudget
	release, ok = none.Hold(memorybudget.Relays, 1)
	require.True(t, ok, "there is no bound")
	release()
	require.Zero(t, none.UsedBy(memorybudget.Relays))
}
