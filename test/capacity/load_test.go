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
	// callersVariable says how many callers send turns at a time.
	callersVariable = "CARDAMOMWARD_CAPACITY_CALLERS"
	// turnTokens are the tokens of new input in each turn; the stand-in answers with 6 to 23 words.
	turnTokens = 303
	// turnsPerProgram is after how many turns a caller opens another program.
	turnsPerProgram = 5
)

// load is what callers have got done.
type load struct {
	turns  atomic.Int64
	failed atomic.Int64
}

// run sends turns through all hosts in turn until ctx ends.
func (l *load) run(ctx context.Context, addresses []string, bearer string, callers int) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			client := &caller.Client{APIKey: bearer, HTTPClient: &http.Client{Transport: transport}}
			for n := i; ctx.Err() == nil; n++ {
				client.Address = addresses[n%len(addresses)]
				if l.program(ctx, client) != nil && ctx.Err() == nil {
					l.failed.Add(1)
				}
			}
		})
	}
	group.Wait()
}

func (l *load) program(ctx context.Context, client *caller.Client) error {
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

// TestLoadedHosts prints what each turn costs all hosts together, beyond what they cost at rest.
func TestLoadedHosts(t *testing.T) {
	hosts, callers, period := 2, 2, time.Second
	if os.Getenv(callersVariable) != "" {
		counts, _, seconds := sizes(t)
		hosts, callers, period = counts[0], int(number(t, os.Getenv(callersVariable))), seconds
	}
	f := startFleet(t, hosts, 2)
	operators := &operatorapi.Client{Address: f.operators[0]}
	issued, err := operators.IssueKey(t.Context(), "clerks")
	require.NoError(t, err)
	rest := measure(t, f, period)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var l load
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx, f.callers, issued.BearerToken, callers)
	}()
	require.Eventually(t, func() bool { return l.turns.Load() >= int64(callers) }, readyTimeout, readyPoll)
	before := l.turns.Load()
	began := time.Now()
	busy := measure(t, f, period)
	perSecond := float64(l.turns.Load()-before) / time.Since(began).Seconds()
	cancel()
	<-done
	require.Positive(t, perSecond)
	each := func(busy, rest float64) float64 { return (busy - rest) * float64(hosts) / perSecond }
	t.Logf("hosts %d callers %d: %.1f turns/s, failed programs %d; each turn: %.2f ms of a core, %.0f bytes in %.1f calls, "+
		"%.2f appends of %.0f bytes; resident %.1f MB",
		hosts, callers, perSecond, l.failed.Load(), each(busy.cpu, rest.cpu)*1000, each(busy.bytes, rest.bytes),
		each(busy.calls, rest.calls), each(busy.appends, rest.appends), each(busy.appended, rest.appended),
		busy.resident/1e6)
}

// loadDocument is the settings of the measured fleet; its upstreams follow.
const loadDocument = `workspaces:
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
