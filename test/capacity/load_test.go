package capacity

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/io/caller"
	"cardamomward/io/operatorapi"
)

const (
	// callersEnvVar is the number of concurrent callers.
	callersEnvVar = "CARDAMOMWARD_CAPACITY_CALLERS"
	// turnTokens is the number of new input tokens in each turn; the stand-in engine responds with 6 to 23 words.
	turnTokens = 303
	// turnsPerProgram is the number of turns in each program.
	turnsPerProgram = 5
)

// turnLoad counts the completed turns and failed programs of the callers.
type turnLoad struct {
	turns          atomic.Int64
	failedPrograms atomic.Int64
}

// run sends turns to all hosts in round-robin order until ctx ends.
func (l *turnLoad) run(ctx context.Context, addresses []string, apiKey string, callers int) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			client := &caller.Client{APIKey: apiKey, HTTPClient: &http.Client{Transport: transport}}
			for n := i; ctx.Err() == nil; n++ {
				client.Address = addresses[n%len(addresses)]
				if l.runProgram(ctx, client) != nil && ctx.Err() == nil {
					l.failedPrograms.Add(1)
				}
			}
		})
	}
	group.Wait()
}

func (l *turnLoad) runProgram(ctx context.Context, client *caller.Client) error {
	program, err := client.OpenProgram(ctx, caller.OpenRequest{Name: "load"})
	if err != nil {
		return err
	}
	for range turnsPerProgram {
		chat := caller.ChatRequest{
			Model: "manual-7b", MaxTokens: turnTokens, Stream: false,
			Messages: []caller.ChatMessage{{Role: "user", Content: caller.Text(strings.Repeat("text", turnTokens))}},
		}
		if _, err := client.RunTurn(ctx, program.ID, 0, chat); err != nil {
			return err
		}
		l.turns.Add(1)
	}
	_, err = client.EndProgram(ctx, program.ID)

	return err
}

// TestLoadedHosts prints the resource usage of a turn over all hosts, beyond their idle usage.
func TestLoadedHosts(t *testing.T) {
	hosts, callers, period := 2, 2, time.Second
	if os.Getenv(callersEnvVar) != "" {
		counts, _, seconds := fleetSizes(t)
		hosts, callers, period = counts[0], int(parseInt(t, os.Getenv(callersEnvVar))), seconds
	}
	f := startFleet(t, hosts, 2)
	operators := &operatorapi.Client{Address: f.operatorAddresses[0]}
	issued, err := operators.IssueKey(t.Context(), "clerks")
	require.NoError(t, err)
	idle := measureRates(t, f, period)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var l turnLoad
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx, f.callerAddresses, issued.BearerToken, callers)
	}()
	require.Eventually(t, func() bool { return l.turns.Load() >= int64(callers) }, readyTimeout, readyPollInterval)
	before := l.turns.Load()
	startedAt := time.Now()
	busy := measureRates(t, f, period)
	perSecond := float64(l.turns.Load()-before) / time.Since(startedAt).Seconds()
	cancel()
	<-done
	require.Positive(t, perSecond)
	perTurn := func(busy, idle float64) float64 { return (busy - idle) * float64(hosts) / perSecond }
	t.Logf("hosts %d callers %d: %.1f turns/s, failed programs %d; each turn: %.2f ms of a core, %.0f bytes in %.1f calls, "+
		"%.2f appends of %.0f bytes; resident %.1f MB",
		hosts, callers, perSecond, l.failedPrograms.Load(), perTurn(busy.cpu, idle.cpu)*1000, perTurn(busy.ioBytes, idle.ioBytes),
		perTurn(busy.ioCalls, idle.ioCalls), perTurn(busy.appends, idle.appends), perTurn(busy.appendedBytes, idle.appendedBytes),
		busy.residentBytes/1e6)
}

// fleetSettings are the settings of the measured fleet, without the upstreams, which are appended.
const fleetSettings = `workspaces:
  clerks:
    rate: 10000/s
    burst: 10000
    budget: 100k tokens
    services: [drafting]
services:
  drafting:
    kind: engine
    model: manual-7b
    max-tokens: 400 tokens
    upstreams:
`

func upstreamLine(i int, address string) string {
	return fmt.Sprintf("      - {name: draft-%d, address: %q, failure-domain: domain-0}\n", i, address)
}
