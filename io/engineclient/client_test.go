package engineclient_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"cardamomward/core/prompt"
	"cardamomward/io/engineclient"
	platformstandin "cardamomward/platform/standin"
	standin "cardamomward/standin/engine"
)

// waitTimeout bounds how long a test waits for a condition.
const waitTimeout = 20 * time.Second

func startEngine(t *testing.T, config standin.Config) *standin.Server {
	t.Helper()
	config.Address = "127.0.0.1:0"
	server, err := standin.New(config)
	require.NoError(t, err)
	server.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = server.Close(ctx)
	})

	return server
}

func newClient(server *standin.Server, progressTimeout time.Duration) *engineclient.Client {
	client := &engineclient.Client{
		Address:  server.Address(),
		ConnPool: &engineclient.ConnPool{NewClient: func() *http.Client { return &http.Client{Transport: &http.Transport{}} }},
	}
	client.SetProgressTimeout(progressTimeout)

	return client
}

// recordedAnswer collects the chunks that a caller would have received.
type recordedAnswer struct {
	text         strings.Builder
	nextIndex    int
	finishReason string
	engineRun    string
}

func (a *recordedAnswer) streamOptions() engineclient.StreamOptions {
	return engineclient.StreamOptions{
		OnAccepted: func(run string) { a.engineRun = run },
		OnChunk: func(chunk *engineclient.Chunk) error {
			a.nextIndex = chunk.Index + 1
			for _, choice := range chunk.Choices {
				a.text.WriteString(choice.Delta.Content)
				if choice.FinishReason != nil {
					a.finishReason = *choice.FinishReason
				}
			}

			return nil
		},
	}
}

func chatRequest(name string) *engineclient.ChatRequest {
	return &engineclient.ChatRequest{
		RequestID: name, Stream: true, MaxTokens: 24, Messages: []prompt.Message{{Role: "user", Content: "draft stand rules"}},
	}
}

// completeAnswer returns the answer of an engine without faults.
func completeAnswer(t *testing.T) string {
	t.Helper()
	var a recordedAnswer
	require.NoError(t, newClient(startEngine(t, standin.Config{}), time.Minute).Chat(t.Context(), chatRequest("whole"), a.streamOptions()))
	require.Equal(t, "stop", a.finishReason)

	return a.text.String()
}

func TestFaultyStreamResumesAtNextChunk(t *testing.T) {
	tests := []struct {
		name    string
		faults  standin.Faults
		wantErr *errorx.Type
	}{
		{"truncated stream", standin.Faults{TruncateAfterChunks: 3}, engineclient.ErrTruncated},
		{"stream without the end marker", standin.Faults{EndAfterChunks: 3}, engineclient.ErrTruncated},
		{"chunks of another request", standin.Faults{WrongRequestChunks: 2}, engineclient.ErrWrongRequest},
		{"repeated chunks", standin.Faults{RepeatChunks: true}, nil},
	}
	want := completeAnswer(t)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := startEngine(t, standin.Config{})
			server.SetFaults(test.faults)
			client := newClient(server, time.Minute)
			var a recordedAnswer
			err := client.Chat(t.Context(), chatRequest("request-"+strings.ReplaceAll(test.name, " ", "-")), a.streamOptions())
			if test.wantErr == nil {
				require.NoError(t, err)
			} else {
				require.True(t, errorx.IsOfType(err, test.wantErr), "%v", err)
				require.Empty(t, a.finishReason, "a truncated stream has no finish reason")
			}
			for range 20 {
				if err == nil {
					break
				}
				err = client.Resume(t.Context(), "request-"+strings.ReplaceAll(test.name, " ", "-"), a.nextIndex, a.streamOptions())
			}
			require.NoError(t, err)
			require.Equal(t, want, a.text.String())
			require.Equal(t, "stop", a.finishReason)
			require.Equal(t, server.EngineRun(), a.engineRun)
		})
	}
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	want := completeAnswer(t)
	server := startEngine(t, standin.Config{TokenInterval: 50 * time.Millisecond, KeepaliveInterval: 20 * time.Millisecond})
	client := newClient(server, time.Second)
	// Two idle connections stay in the pool and become silent together with the stream's connection.
	var others [2]recordedAnswer
	done := make(chan error, len(others))
	for i := range others {
		go func() {
			done <- client.Chat(t.Context(), chatRequest([]string{"one", "two"}[i]), others[i].streamOptions())
		}()
	}
	for range others {
		require.NoError(t, <-done)
	}
	var a recordedAnswer
	opts := a.streamOptions()
	onChunk := opts.OnChunk
	opts.OnChunk = func(chunk *engineclient.Chunk) error {
		if chunk.Index == 2 {
			server.SetFaults(standin.Faults{SilenceOpenConns: true})
		}

		return onChunk(chunk)
	}
	err := client.Chat(t.Context(), chatRequest("silent"), opts)
	require.True(t, errorx.IsOfType(err, engineclient.ErrSilent), "%v", err)
	require.NoError(t, client.Resume(t.Context(), "silent", a.nextIndex, a.streamOptions()), "a new connection works")
	require.Equal(t, want, a.text.String())
	_, err = client.FetchLoad(t.Context())
	require.NoError(t, err)
}

func TestKeepalivesWithoutTokensReturnStalled(t *testing.T) {
	server := startEngine(t, standin.Config{KeepaliveInterval: 20 * time.Millisecond})
	server.SetFaults(standin.Faults{StallTokens: true})
	var a recordedAnswer
	err := newClient(server, 500*time.Millisecond).Chat(t.Context(), chatRequest("stalled"), a.streamOptions())
	require.True(t, errorx.IsOfType(err, engineclient.ErrStalled), "%v", err)
}

func TestLongPrefillDoesNotTimeOut(t *testing.T) {
	want := completeAnswer(t)
	for _, test := range []struct {
		name      string
		keepalive time.Duration
	}{{"with keepalives", 20 * time.Millisecond}, {"without keepalives", -1}} {
		t.Run(test.name, func(t *testing.T) {
			server := startEngine(t, standin.Config{PrefillTokensPerSecond: 5, KeepaliveInterval: test.keepalive})
			client := newClient(server, time.Second)
			// Before the second request the client knows whether the engine sends keepalives.
			for _, name := range []string{"first", "second"} {
				var a recordedAnswer
				opts := a.streamOptions()
				opts.ExpectedPrefill = 2 * time.Second
				req := chatRequest(name)
				req.CacheOwner = name
				require.NoError(t, client.Chat(t.Context(), req, opts))
				require.Equal(t, want, a.text.String())
				require.NoError(t, client.ReleaseCache(t.Context(), engineclient.CacheRelease{Owners: []string{name}}))
			}
		})
	}
}

func TestUnreachableEngineReturnsNotStarted(t *testing.T) {
	server := startEngine(t, standin.Config{})
	client := newClient(server, time.Second)
	require.Eventually(t, func() bool {
		_, err := client.FetchLoad(t.Context())

		return err == nil
	}, waitTimeout, time.Millisecond)
	require.NoError(t, server.Close(t.Context()))
	require.Eventually(t, func() bool {
		var a recordedAnswer
		err := client.Chat(t.Context(), chatRequest("gone"), a.streamOptions())

		return errorx.IsOfType(err, engineclient.ErrNotStarted)
	}, waitTimeout, time.Millisecond)
	_, err := client.FetchLoad(t.Context())
	require.True(t, engineclient.IsConnectionRefused(err), "%v", err)
}

// An engine's response that promises nothing was taken for one that it had not run the request, and callers were told so.
func TestOnlyRefusalMeansThatRequestDidNotRun(t *testing.T) {
	for head, didNotRun := range map[string]bool{
		"HTTP/1.1 000 None":                false,
		"HTTP/1.1 101 Switching Protocols": false,
		"HTTP/1.1 202 Accepted":            false,
		"HTTP/1.1 302 Found":               false,
		"HTTP/1.1 500 Internal Error":      false,
		"HTTP/1.1 502 Bad Gateway":         false,
		"HTTP/1.1 504 Gateway Timeout":     false,
		"HTTP/1.1 503 Busy\r\nBad Name: x": false,
		"HTTP/1.1 200 OK":                  false,
		"HTTP/1.1 400 Bad Request":         true,
		"HTTP/1.1 429 Too Many Requests":   true,
		"HTTP/1.1 503 Service Unavailable": true,
	} {
		t.Run(head, func(t *testing.T) {
			server, err := platformstandin.NewRawServer(platformstandin.RespondWith(head + "\r\nConnection: close\r\n\r\n"))
			require.NoError(t, err)
			t.Cleanup(server.Close)
			client := &engineclient.Client{
				Address:  server.Address(),
				ConnPool: &engineclient.ConnPool{NewClient: func() *http.Client { return &http.Client{Transport: &http.Transport{}} }},
			}
			client.SetProgressTimeout(time.Second)
			var a recordedAnswer
			err = client.Chat(t.Context(), chatRequest("refused"), a.streamOptions())
			require.Error(t, err)
			require.Equal(t, didNotRun, errorx.IsOfType(err, engineclient.ErrNotStarted), "%v", err)
		})
	}
}
