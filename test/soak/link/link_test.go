package link_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/test/soak/link"
)

// newLink starts a server that counts its POST requests, and a link to it.
func newLink(t *testing.T) (*link.Link, *http.Client, *atomic.Int64) {
	t.Helper()
	var posts atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.Method == http.MethodPost {
			posts.Add(1)
		}
		w.Write(body) //nolint:errcheck // the test reads the response
	}))
	t.Cleanup(server.Close)
	l, err := link.New(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(l.Close)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)

	return l, &http.Client{Transport: transport, Timeout: 10 * time.Second}, &posts
}

func post(t *testing.T, l *link.Link, client *http.Client, body string) (string, error) {
	t.Helper()
	resp, err := client.Post("http://"+l.Address()+"/x", "text/plain", strings.NewReader(body)) //nolint:noctx // the client has a timeout
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	received, err := io.ReadAll(resp.Body)

	return string(received), err
}

// Guards against a link that changes what passes, also in several parts and over one connection.
func TestLinkPassesRequestsUnchanged(t *testing.T) {
	l, client, _ := newLink(t)
	for _, size := range []int{0, 1, 100_000} {
		body := strings.Repeat("x", size)
		received, err := post(t, l, client, body)
		require.NoError(t, err)
		require.Equal(t, body, received)
	}
}

// Guards against a delay or a limit of the bandwidth that has no effect.
func TestLinkDelaysAndTrickles(t *testing.T) {
	for name, fault := range map[string]link.Fault{
		"delay": {Delay: 100 * time.Millisecond}, "trickle": {BytesPerSecond: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			l, client, _ := newLink(t)
			l.SetFault(fault)
			begunAt := time.Now()
			received, err := post(t, l, client, "whole")
			require.NoError(t, err)
			require.Equal(t, "whole", received)
			require.GreaterOrEqual(t, time.Since(begunAt), 150*time.Millisecond)
		})
	}
}

// Guards against a reset that leaves old or new connections open, or that does not end.
func TestLinkResetsConnections(t *testing.T) {
	l, client, _ := newLink(t)
	_, err := post(t, l, client, "a")
	require.NoError(t, err)
	l.SetFault(link.Fault{Resets: true})
	_, err = post(t, l, client, "b")
	require.Error(t, err)
	l.SetFault(link.Fault{})
	_, err = post(t, l, client, "c")
	require.NoError(t, err)
}

// Guards against a cut of one direction that also cuts the other one, and against losing what was held.
func TestLinkHoldsOneDirection(t *testing.T) {
	for name, c := range map[string]struct {
		fault    link.Fault
		executes bool
	}{
		"requests":  {link.Fault{HoldsRequests: true}, false},
		"responses": {link.Fault{HoldsResponses: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, client, posts := newLink(t)
			l.SetFault(c.fault)
			responded := make(chan string, 1)
			go func() {
				received, _ := post(t, l, client, "held")
				responded <- received
			}()
			if c.executes {
				require.Eventually(t, func() bool { return posts.Load() == 1 }, 10*time.Second, time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond)
			require.Empty(t, responded)
			if !c.executes {
				require.Zero(t, posts.Load())
			}
			l.SetFault(link.Fault{})
			require.Equal(t, "held", <-responded)
			require.EqualValues(t, 1, posts.Load())
		})
	}
}

// Guards against repeated requests that the server does not execute, and against repeating those that change nothing.
func TestLinkRepeatsLatestUnsafeRequests(t *testing.T) {
	l, client, posts := newLink(t)
	resp, err := client.Get("http://" + l.Address() + "/x") //nolint:noctx // the client has a timeout
	require.NoError(t, err)
	resp.Body.Close()
	require.Zero(t, l.Repeat(t.Context()))
	for _, body := range []string{"a", strings.Repeat("b", 20_000)} {
		_, err := post(t, l, client, body)
		require.NoError(t, err)
	}
	require.Equal(t, 2, l.Repeat(t.Context()))
	require.Eventually(t, func() bool { return posts.Load() == 4 }, 10*time.Second, time.Millisecond)
}
