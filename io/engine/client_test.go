package engine_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"cardamomward/core/prompt"
	"cardamomward/io/engine"
	standin "cardamomward/standin/engine"
)

// awaitFor bounds how long a test waits for a condition.
const awaitFor = 20 * time.Second

func start(t *testing.T, config standin.Config) *standin.Server {
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

func connect(server *standin.Server, progress time.Duration) *engine.Client {
	client := &engine.Client{
		Address: server.Address(),
		Conns:   &engine.Conns{New: func() *http.Client { return &http.Client{Transport: &http.Transport{}} }},
	}
	client.SetProgress(progress)

	return client
}

// answer is what a caller would have been shown.
type answer struct {
	text   strings.Builder
	next   int
	reason string
	run    string
}

func (a *answer) options() engine.Options {
	return engine.Options{
		Ran: func(run string) { a.run = run },
		Visit: func(chunk *engine.Chunk) error {
			a.next = chunk.Index + 1
			for _, choice := range chunk.Choices {
				a.text.WriteString(choice.Delta.Content)
				if choice.FinishReason != nil {
					a.reason = *choice.FinishReason
				}
			}

			return nil
		},
	}
}

func request(name string) *engine.ChatRequest {
	return &engine.ChatRequest{
		RequestID: name, Stream: true, MaxTokens: 24, Messages: []prompt.Message{{Role: "user", Content: "draft stand rules"}},
	}
}

// whole returns the answer that an engine without faults gives.
func whole(t *testing.T) string {
	t.Helper()
	var a answer
	require.NoError(t, connect(start(t, standin.Config{}), time.Minute).Chat(t.Context(), request("whole"), a.options()))
	require.Equal(t, "stop", a.reason)

	return a.text.String()
}

func TestFaultyStreamsAreResumedAtTheRightPlace(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		first  *errorx.Type
	}{
		{"cut", standin.Faults{CutAfter: 3}, engine.ErrCut},
		{"ended early", standin.Faults{EndAfter: 3}, engine.ErrCut},
		{"crossed", standin.Faults{Crossed: 2}, engine.ErrCrossed},
		{"repeated", standin.Faults{Repeated: true}, nil},
	}
	want := whole(t)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := start(t, standin.Config{})
			server.SetFaults(test.faults)
			client := connect(server, time.Minute)
			var a answer
			err := client.Chat(t.Context(), request("request-"+strings.ReplaceAll(test.name, " ", "-")), a.options())
			if test.first == nil {
				require.NoError(t, err)
			} else {
				require.True(t, errorx.IsOfType(err, test.first), "%v", err)
				require.Empty(t, a.reason, "an answer that was cut is not complete")
			}
			for range 20 {
				if err == nil {
					break
				}
				err = client.Resume(t.Context(), "request-"+strings.ReplaceAll(test.name, " ", "-"), a.next, a.options())
			}
			require.NoError(t, err)
			require.Equal(t, want, a.text.String())
			require.Equal(t, "stop", a.reason)
			require.Equal(t, server.RunID(), a.run)
		})
	}
}

func TestSilentConnectionIsReplacedWhileTheEngineStaysInUse(t *testing.T) {
	want := whole(t)
	server := start(t, standin.Config{TokenInterval: 50 * time.Millisecond, Keepalive: 20 * time.Millisecond})
	client := connect(server, time.Second)
	// Two idle connections stay in the pool and go silent with the stream's own.
	var others [2]answer
	done := make(chan error, len(others))
	for i := range others {
		go func() { done <- client.Chat(t.Context(), request([]string{"one", "two"}[i]), others[i].options()) }()
	}
	for range others {
		require.NoError(t, <-done)
	}
	var a answer
	opts := a.options()
	visit := opts.Visit
	opts.Visit = func(chunk *engine.Chunk) error {
		if chunk.Index == 2 {
			server.SetFaults(standin.Faults{Silent: true})
		}

		return visit(chunk)
	}
	err := client.Chat(t.Context(), request("silent"), opts)
	require.True(t, errorx.IsOfType(err, engine.ErrSilent), "%v", err)
	require.NoError(t, client.Resume(t.Context(), "silent", a.next, a.options()), "a fresh connection works")
	require.Equal(t, want, a.text.String())
	_, err = client.Load(t.Context())
	require.NoError(t, err)
}

func TestStreamThatShowsLifeWithoutTokensIsStalled(t *testing.T) {
	server := start(t, standin.Config{Keepalive: 20 * time.Millisecond})
	server.SetFaults(standin.Faults{Stalled: true})
	var a answer
	err := connect(server, 500*time.Millisecond).Chat(t.Context(), request("stalled"), a.options())
	require.True(t, errorx.IsOfType(err, engine.ErrStalled), "%v", err)
}

func TestLongPrefillIsNoSilence(t *testing.T) {
	want := whole(t)
	for _, test := range []struct {
		name      string
		keepalive time.Duration
	}{{"with keepalives", 20 * time.Millisecond}, {"without keepalives", -1}} {
		t.Run(test.name, func(t *testing.T) {
			server := start(t, standin.Config{PrefillPerSecond: 5, Keepalive: test.keepalive})
			client := connect(server, time.Second)
			// By the second request the client has learnt whether the engine shows life.
			for _, name := range []string{"first", "second"} {
				var a answer
				opts := a.options()
				opts.Prefill = 2 * time.Second
				req := request(name)
				req.CacheOwner = name
				require.NoError(t, client.Chat(t.Context(), req, opts))
				require.Equal(t, want, a.text.String())
				require.NoError(t, client.Release(t.Context(), engine.CacheRelease{Owners: []string{name}}))
			}
		})
	}
}

func TestEngineThatIsNotThereHasNotStarted(t *testing.T) {
	server := start(t, standin.Config{})
	client := connect(server, time.Second)
	require.Eventually(t, func() bool {
		_, err := client.Load(t.Context())

		return err == nil
	}, awaitFor, time.Millisecond)
	require.NoError(t, server.Close(t.Context()))
	require.Eventually(t, func() bool {
		var a answer
		err := client.Chat(t.Context(), request("gone"), a.options())

		return errorx.IsOfType(err, engine.ErrNotStarted)
	}, awaitFor, time.Millisecond)
	_, err := client.Load(t.Context())
	require.True(t, engine.Refused(err), "%v", err)
}
