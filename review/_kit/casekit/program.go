package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cardamomward/platform/standin"
	"cardamomward/review/_kit/harness"
)

const (
	// eventsPerTurn and tokensPerEvent make up the most of one turn, maxTurnTokens; the configuration names the tokens of an event.
	eventsPerTurn  = 10
	tokensPerEvent = 10
	maxTurnTokens  = eventsPerTurn * tokensPerEvent
	// budgetTokens is the Token-Budget of the programs.
	budgetTokens = 800
)

// program is an agent program, whose turns follow one another.
type program struct {
	name string
	mu   sync.Mutex
	// tokens is the number of tokens that the client has received, attempts that broke off included.
	tokens int
	// turns are the ids of the turns that were answered whole.
	turns     []string
	isRefused bool
}

// turn sends one client attempt of the program's next turn and returns its status, 0 if there was no answer.
func (p *program) turn(ctx context.Context, record *harness.Record, host *harness.Host, path, previous string) (status int, id string, isWhole bool) {
	id = harness.NewRequestID()
	header := map[string]string{
		"Request-Id": id, "Program-Id": p.name, "Session-Id": p.name, "Program-Time-Left": "5000", "Token-Budget": fmt.Sprint(budgetTokens),
		"Token-Usage": fmt.Sprintf("500,%d", maxTurnTokens), "Prompt-Prefix": "aa:400,bb:100", "Model": "m",
	}
	if previous != "" {
		header["Previous-Turn"] = previous
	}
	status, isSigned, text, complete := harness.Post(ctx, host.CallerAddress(), path, header, "input of "+id+"\n")
	events := 0
	if status == http.StatusOK {
		events = harness.Events(text)
	}
	isWhole = status == http.StatusOK && complete && events == eventsPerTurn && isSigned
	record.Write("%s: turn %s by %s after %q: status %d, %d events, whole %v %s", p.name, id, host.Name, previous, status, events, isWhole, reasonOf(status, text))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens += events * tokensPerEvent
	if isWhole {
		p.turns = append(p.turns, id)
	}
	p.isRefused = status == http.StatusPaymentRequired

	return status, id, isWhole
}

func reasonOf(status int, text string) string {
	if status == http.StatusOK || status == 0 {
		return ""
	}

	return strings.TrimSpace(text)
}

func (p *program) spent() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.tokens
}

// spendRest sends turns until the program gets a 402 or the time ends. A turn that is refused with 503 comes again after 0.4 s.
func (p *program) spendRest(ctx context.Context, record *harness.Record, host func(try int) *harness.Host) {
	for try := 0; ctx.Err() == nil; try++ {
		status, _, isWhole := p.turn(ctx, record, host(try), "/draft/1", "")
		if status == http.StatusPaymentRequired {
			return
		}
		if !isWhole {
			harness.Sleep(ctx, 400*time.Millisecond)
		}
	}
}

// newDeployment prepares hosts, three engines and a configuration with the routes of standin.Configuration.
func newDeployment(record *harness.Record, hosts int) (*harness.Fleet, []*standin.Upstream, error) {
	fleet, err := harness.NewFleet(record, hosts)
	if err != nil {
		return nil, nil, err
	}
	standin.Configuration{Version: 1, APIKeys: []string{harness.Key}}.WriteToStore(fleet.Store)
	var upstreams []*standin.Upstream
	for number := range 3 {
		u := standin.NewUpstream(fmt.Sprintf("i-engine-%d", number+1), "engines", eventsPerTurn)
		u.EventInterval = 3 * time.Millisecond
		upstreams = append(upstreams, u)
	}
	fleet.KeepRegistered(upstreams...)

	return fleet, upstreams, nil
}

// busiestOwner returns the host that the store's group gives the most partitions.
func busiestOwner(ctx context.Context, fleet *harness.Fleet) (*harness.Host, error) {
	counts, err := fleet.OwnedPartitions(ctx)
	if err != nil {
		return nil, err
	}
	var busiest *harness.Host
	for _, h := range fleet.Hosts {
		if counts[h] > 0 && (busiest == nil || counts[h] > counts[busiest]) {
			busiest = h
		}
	}
	if busiest == nil {
		return nil, fmt.Errorf("no host owns a partition")
	}

	return busiest, nil
}

// judgeBudgets reports whether a program got more than its Token-Budget and the most of one turn.
func judgeBudgets(record *harness.Record, programs []*program) bool {
	over := 0
	for _, p := range programs {
		if spent := p.spent(); spent > budgetTokens+maxTurnTokens {
			over++
			record.Say("BUDGET: %s got %d tokens; its budget is %d and the most of one turn %d", p.name, spent, budgetTokens, maxTurnTokens)
		}
	}
	record.Say("%d of %d programs got more than their budget and one turn", over, len(programs))

	return over > 0
}
