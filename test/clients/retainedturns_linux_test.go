package clients

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/platform/standin"
)

const (
	// smallestHostBytes is the memory of the smallest hosts of deployments whose routes retain turns.
	smallestHostBytes = 112 << 20
	// retainedTurns is the number of turns that a program leaves behind, and largestInputBytes the size of their inputs, the limit of a body.
	// Together they have more than the memory of the host.
	retainedTurns     = 40
	largestInputBytes = 4 << 20
	// maxRecordBytes bounds the records of the store.
	maxRecordBytes = 256 << 10
)

// prompts are the lengths of the prompts that an upstream has received, by the id of the turn.
type prompts struct {
	mu    sync.Mutex
	bytes map[string]int64
}

// respond reads a prompt and responds with one event.
func (p *prompts) respond(conn *net.TCPConn, req *http.Request) {
	defer conn.Close() //nolint:errcheck // a test
	bytes, _ := io.Copy(io.Discard, req.Body)
	turn := req.Header.Get("Request-Id")
	p.mu.Lock()
	p.bytes[turn] = bytes
	p.mu.Unlock()
	fields := "Request-Id: " + turn + "\r\nResponse-Signature: sig\r\nConnection: close\r\nContent-Type: text/event-stream\r\n"
	if !strings.HasPrefix(req.URL.Path, "/chat/") {
		fields = strings.Replace(fields, "text/event-stream", "text/plain", 1)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 9\r\n\r\ndata: x\n\n") //nolint:errcheck // a test
}

// sendTurn sends a turn until it is answered whole.
func (h *host) sendTurn(program, turn, previous, input string) {
	h.t.Helper()
	call := standin.NewTurnRequest("/chat/a", "secret", program, previous, input)
	call.Header["Token-Budget"] = "1000000"
	attempt := 0
	require.Eventually(h.t, func() bool {
		require.True(h.t, h.isAlive(), "the process lives in turn %s", turn)
		ctx, cancel := context.WithTimeout(h.t.Context(), requestTimeout)
		defer cancel()
		id := turn
		if attempt++; attempt > 1 {
			id = fmt.Sprintf("%s-again-%d", turn, attempt)
		}
		response, err := call.Send(ctx, id, h.settings.CallerAddress)

		return err == nil && response.Status == http.StatusOK && !response.Truncated
	}, 2*requestTimeout, 50*time.Millisecond, "turn %s", turn)
}

// Retained turns within the limits took the owners of their slots over their memory, and each next process too, which read them all.
func TestRetainedTurnsDoNotExhaustMemory(t *testing.T) {
	for name, hasNoBudget := range map[string]bool{"with a budget": false, "without a budget": true} {
		t.Run(name, func(t *testing.T) {
			received := &prompts{bytes: make(map[string]int64)}
			opts := hostOptions{hasNoBudget: hasNoBudget, memoryBytes: smallestHostBytes, maxRecordBytes: maxRecordBytes, respond: received.respond}
			h := startHost(t, opts)
			input := strings.Repeat("x", largestInputBytes)
			for turn := range retainedTurns {
				h.sendTurn("large", fmt.Sprintf("turn-%d", turn), "", input)
			}
			h.sendTurn("small", "small", "", "x")
			h.requireWithinBounds(hostFiles, "after the turns")
			requireContinued(t, h, received, "of the first process")

			require.NoError(t, h.process.Signal(syscall.SIGKILL))
			<-h.done
			h.settings.FirstStart = false
			h.restart(opts)
			requireContinued(t, h, received, "of the next process")
			h.requireServes("after the restart")
			h.requireWithinBounds(hostFiles, "after the restart")
		})
	}
}

// requireContinued continues the first and the last large turn, and a small one, and requires that the upstream gets them.
func requireContinued(t *testing.T, h *host, received *prompts, which string) {
	t.Helper()
	for previous, least := range map[string]int64{"turn-0": largestInputBytes, fmt.Sprintf("turn-%d", retainedTurns-1): largestInputBytes, "small": 1} {
		turn := strings.ReplaceAll("continues "+previous+" "+which, " ", "-")
		h.sendTurn("large", turn, previous, "y")
		received.mu.Lock()
		most := int64(0)
		for id, bytes := range received.bytes {
			if strings.HasPrefix(id, turn) {
				most = max(most, bytes)
			}
		}
		received.mu.Unlock()
		require.Greater(t, most, least, "%s has its transcript", turn)
	}
}

// Turns that could not become durable in an outage of the store stayed at the owners of their slots until its end, whether or not
// their callers still waited.
func TestTurnsOfOutageDoNotExhaustMemory(t *testing.T) {
	const (
		programs = 6
		outage   = 15 * time.Second
	)
	for name, hasNoBudget := range map[string]bool{"with a budget": false, "without a budget": true} {
		t.Run(name, func(t *testing.T) {
			received := &prompts{bytes: make(map[string]int64)}
			h := startHost(t, hostOptions{hasNoBudget: hasNoBudget, memoryBytes: smallestHostBytes, maxRecordBytes: maxRecordBytes, respond: received.respond})
			h.store.SetFaults(standin.Faults{Down: true})
			input := strings.Repeat("x", largestInputBytes)
			ended := time.Now().Add(outage)
			var senders sync.WaitGroup
			for program := range programs {
				senders.Go(func() {
					for turn := 0; time.Now().Before(ended); turn++ {
						call := standin.NewTurnRequest("/chat/a", "secret", fmt.Sprintf("program-%d", program), "", input)
						call.Header["Token-Budget"] = "1000000"
						ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
						call.Send(ctx, fmt.Sprintf("turn-%d-%d", program, turn), h.settings.CallerAddress) //nolint:errcheck // turns of the outage may fail
						cancel()
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
			senders.Wait()
			h.requireWithinBounds(hostFiles, "in the outage")
			h.store.SetFaults(standin.Faults{})
			h.sendTurn("after", "after", "", input)
			h.requireServes("after the outage")
			h.requireWithinBounds(hostFiles, "after the outage")
		})
	}
}

// Guards against small requests that make a host hold a large transcript each.
func TestContinuationsOfLargeTurnsDoNotExhaustMemory(t *testing.T) {
	for name, hasNoBudget := range map[string]bool{"with a budget": false, "without a budget": true} {
		t.Run(name, func(t *testing.T) { continueLargeTurns(t, hasNoBudget, "large") })
	}
}

// A program that continues a turn of another one retains the whole transcript with its own turn.
func TestContinuationsByOtherProgramsDoNotExhaustMemory(t *testing.T) {
	continueLargeTurns(t, false, "program-%d")
}

// The same at a host that counts no transcripts.
func TestContinuationsByOtherProgramsDoNotExhaustMemoryWithoutBudget(t *testing.T) {
	continueLargeTurns(t, true, "program-%d")
}

// continueLargeTurns leaves large turns behind and continues all of them at the same time, as programs whose names have a format.
func continueLargeTurns(t *testing.T, hasNoBudget bool, programs string) {
	t.Helper()
	received := &prompts{bytes: make(map[string]int64)}
	h := startHost(t, hostOptions{hasNoBudget: hasNoBudget, memoryBytes: smallestHostBytes, maxRecordBytes: maxRecordBytes, respond: received.respond})
	input := strings.Repeat("x", largestInputBytes)
	for turn := range retainedTurns {
		h.sendTurn("large", fmt.Sprintf("turn-%d", turn), "", input)
	}
	h.sendTurn("small", "small", "", "x")
	var callers sync.WaitGroup
	for turn := range retainedTurns {
		callers.Go(func() {
			program := strings.ReplaceAll(programs, "%d", strconv.Itoa(turn))
			call := standin.NewTurnRequest("/chat/a", "secret", program, fmt.Sprintf("turn-%d", turn), "y")
			ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
			defer cancel()
			call.Send(ctx, fmt.Sprintf("continues-%d", turn), h.settings.CallerAddress) //nolint:errcheck // some are refused
		})
	}
	callers.Wait()
	h.requireWithinBounds(hostFiles, "after the continuations")
	requireContinued(t, h, received, "after the crowd")
	h.requireServes("after the continuations")
	h.requireWithinBounds(hostFiles, "in the end")
}
