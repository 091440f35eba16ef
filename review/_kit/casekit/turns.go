package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamomward/platform"
	"cardamomward/platform/standin"
	"cardamomward/review/_kit/harness"
)

// chatEngine is a runner whose events have the data that textOf returns.
type chatEngine struct {
	*standin.Upstream

	record *harness.Record
	textOf func(number int) string
}

func newChatEngine(id string, record *harness.Record, events int, pause time.Duration, textOf func(number int) string) *chatEngine {
	e := &chatEngine{Upstream: standin.NewUpstream(id, "engines", events), record: record, textOf: textOf}
	e.EventInterval = pause
	inner := e.Config.Handler
	e.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		record.Write("%s: got %s after event %q", id, r.Header.Get("Request-Id"), r.Header.Get("Last-Event-Id"))
		inner.ServeHTTP(&textWriter{w, textOf}, r)
	})

	return e
}

// textWriter replaces the data of the stand-in's events, with a data line for each line of text as text/event-stream has them.
type textWriter struct {
	http.ResponseWriter

	textOf func(number int) string
}

var standinData = regexp.MustCompile(`data: word-(\d+)`)

func (w *textWriter) Write(data []byte) (int, error) {
	replaced := standinData.ReplaceAllFunc(data, func(match []byte) []byte {
		number, _ := strconv.Atoi(string(standinData.FindSubmatch(match)[1]))

		return []byte("data: " + strings.ReplaceAll(w.textOf(number), "\n", "\ndata: "))
	})
	if _, err := w.ResponseWriter.Write(replaced); err != nil {
		return 0, err
	}

	return len(data), nil
}

// Unwrap lets the stand-in flush its events.
func (w *textWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// output returns the data of all events, each followed by a line feed.
func (e *chatEngine) output() string {
	var text strings.Builder
	for number := 1; number <= e.EventCount; number++ {
		text.WriteString(e.textOf(number) + "\n")
	}

	return text.String()
}

// body returns the body with which a request has run.
func (e *chatEngine) body(id string) (string, bool) {
	for _, request := range e.ExecutedRequests() {
		if request.RequestID() == id {
			e.record.Write("%s: ran %s with the body %q", e.ID, id, request.Body)

			return request.Body, true
		}
	}

	return "", false
}

// sendTurn sends a turn and returns its id, what arrived and whether the answer was complete.
func sendTurn(ctx context.Context, record *harness.Record, host *harness.Host, program, body string, more map[string]string) (id, text string, complete bool) {
	id = harness.NewRequestID()
	header := map[string]string{
		"Request-Id": id, "Program-Id": program, "Session-Id": program, "Program-Time-Left": "8000", "Token-Usage": "500,100",
		"Prompt-Prefix": "aa:400,bb:100", "Model": "m",
	}
	for name, value := range more {
		header[name] = value
	}
	status, _, text, complete := harness.Post(ctx, host.CallerAddress(), "/chat/1", header, body)
	record.Write("turn %s by %s with %v: status %d, %d events, complete %v", id, host.Name, more, status, harness.Events(text), complete)

	return id, text, complete && status == http.StatusOK
}

// judgeBody reports whether a runner got another body than the chain's inputs and outputs and the new input.
func judgeBody(record *harness.Record, e *chatEngine, id, want string) (bool, error) {
	got, ok := e.body(id)
	if !ok {
		return false, fmt.Errorf("turn %s reached no runner", id)
	}
	if got == want {
		return false, nil
	}
	record.Say("UNASKED: turn %s was to run with the body %q, and ran with %q", id, want, got)

	return true, nil
}

// playLines continues from a turn of which an event's data begins with an empty line.
func playLines(ctx context.Context, record *harness.Record) (bool, error) {
	text := func(number int) string {
		if harness.IsTroubled() && number%2 == 0 {
			return fmt.Sprintf("\nline %d", number)
		}

		return fmt.Sprintf("line %d", number)
	}

	return playChain(ctx, record, 6, 20*time.Millisecond, text, nil)
}

// playResumed continues from a turn whose stream was resumed after the host that sent it was killed.
func playResumed(ctx context.Context, record *harness.Record) (bool, error) {
	text := func(number int) string { return fmt.Sprintf("word %d", number) }

	return playChain(ctx, record, 10, 100*time.Millisecond, text, func(victim *harness.Host) {
		if harness.IsTroubled() {
			harness.Sleep(ctx, 450*time.Millisecond)
			victim.Kill()
			record.Say("%s was killed", victim.Name)
		}
	})
}

// warmUp is how long hosts run before; without the attempt's name they resume a stream only if its service has long had one version.
const warmUp = 36 * time.Second

// playChain runs ten chains of two turns each. The function, if there is one, runs beside the first turn and may end its host.
func playChain(ctx context.Context, record *harness.Record, events int, pause time.Duration, text func(int) string, disturb func(victim *harness.Host)) (bool, error) {
	fleet, err := harness.NewFleet(record, 4)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	standin.Configuration{Version: 1, APIKeys: []string{harness.Key}}.WriteToStore(fleet.Store)
	if disturb != nil {
		// The route of chats is resumable too.
		if err := writeResumableConfiguration(fleet.Store); err != nil {
			return false, err
		}
	}
	e := newChatEngine("i-engine-1", record, events, pause, text)
	fleet.OnClose(e.Close)
	fleet.KeepRegistered(e.Upstream)
	if err := fleet.Start(ctx); err != nil {
		return false, err
	}
	if disturb != nil {
		harness.Sleep(ctx, warmUp)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	isBroken, reached := false, 0
	if disturb != nil {
		wg.Go(func() { disturb(fleet.Hosts[0]) })
	}
	for number := range 10 {
		wg.Go(func() {
			program := fmt.Sprintf("program-%d-%s", number, harness.NewRequestID()[:6])
			first, received, complete := sendTurn(ctx, record, fleet.Hosts[0], program, "first input\n", nil)
			for try := 0; !complete && try < 5; try++ {
				harness.Sleep(ctx, 300*time.Millisecond)
				first, _, complete = sendTurn(ctx, record, fleet.Hosts[1+number%3], program, "first input\n",
					map[string]string{"Last-Event-Id": fmt.Sprint(harness.Events(received))})
			}
			if !complete {
				return
			}
			second, _, _ := sendTurn(ctx, record, fleet.Hosts[1+number%3], program, "second input\n", map[string]string{"Previous-Turn": first})
			broken, err := judgeBody(record, e, second, "first input\n"+e.output()+"second input\n")
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				reached++
			}
			isBroken = isBroken || broken
		})
	}
	wg.Wait()
	record.Say("%d of 10 second turns reached the runner", reached)
	if reached == 0 {
		return false, fmt.Errorf("no second turn reached the runner")
	}

	return isBroken, nil
}

// writeResumableConfiguration writes a newer configuration, in which the route that retains context is resumable as well.
func writeResumableConfiguration(store *standin.Store) error {
	value, err := json.Marshal(map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "chat", "host": "agents.example", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200,
			"service": "engines", "max_attempts": 2, "retains_context": true, "retention_s": 60, "resumable": true, "gap_target_ms": 300,
		}},
		"services": []any{map[string]any{
			"name": "engines", "max_connections": 100,
			"engine": map[string]any{"slots": 16, "kv_capacity_tokens": 100000, "tokens_per_event": tokensPerEvent},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "clerks", "api_keys": []string{harness.Key}}},
	})
	if err != nil {
		return err
	}
	store.PutRecord(platform.ConfigurationTopic, platform.ConfigurationKey, value)

	return nil
}
