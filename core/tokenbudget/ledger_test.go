package tokenbudget_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/id"
	"cardamomward/core/tokenbudget"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func turn(attempt string) tokenbudget.Turn {
	return tokenbudget.Turn{
		Program: "p", Attempt: attempt, BudgetTokens: 1000, MaxTokens: 400,
		Deadline: start.Add(3 * time.Second), Retention: time.Minute,
	}
}

func TestFirstTurnIsAdmittedWithoutDurableWatermark(t *testing.T) {
	var l tokenbudget.Ledger
	decision, mark := l.Reserve(start, turn("a"), false)
	require.Equal(t, tokenbudget.Admit, decision)
	require.Equal(t, id.Tokens(400), mark.Tokens)
}

func TestSecondTurnWaitsForDurableWatermarkOfFirst(t *testing.T) {
	var l tokenbudget.Ledger
	_, mark := l.Reserve(start, turn("a"), false)
	decision, _ := l.Reserve(start, turn("b"), false)
	require.Equal(t, tokenbudget.AwaitDurable, decision)
	l.MarkDurable(mark)
	decision, _ = l.Reserve(start, turn("b"), false)
	require.Equal(t, tokenbudget.Admit, decision)
}

func TestTurnSettledBeforeReserveHoldsNoTokens(t *testing.T) {
	var l tokenbudget.Ledger
	l.Settle("p", "late", 0)
	decision, mark := l.Reserve(start, turn("late"), false)
	require.Equal(t, tokenbudget.AlreadySettled, decision)
	require.Zero(t, mark.Tokens)
	decision, mark = l.Reserve(start, turn("next"), false)
	require.Equal(t, tokenbudget.Admit, decision)
	require.Equal(t, id.Tokens(400), mark.Tokens, "the turn that was given up holds nothing back")
}

func TestTurnsAreAdmittedFromMemoryWhileStoreIsUnavailable(t *testing.T) {
	var l tokenbudget.Ledger
	l.Reserve(start, turn("a"), true)
	decision, _ := l.Reserve(start, turn("b"), true)
	require.Equal(t, tokenbudget.Admit, decision)
	decision, mark := l.Reserve(start, turn("c"), true)
	require.Equal(t, tokenbudget.Exhausted, decision)
	require.Equal(t, id.Tokens(800), mark.Tokens, "a refused program's count is written, so that it is refused again later")
}

func TestRepeatedRequestsAreCountedOnce(t *testing.T) {
	var l tokenbudget.Ledger
	l.Reserve(start, turn("a"), false)
	decision, mark := l.Reserve(start, turn("a"), false)
	require.Equal(t, tokenbudget.Admit, decision)
	require.Equal(t, id.Tokens(400), mark.Tokens)
	l.Settle("p", "a", 100)
	l.Settle("p", "a", 100)
	l.MarkDurable(tokenbudget.Watermark{Program: "p", Tokens: 400})
	_, mark = l.Reserve(start, turn("b"), false)
	require.Equal(t, id.Tokens(500), mark.Tokens)
}

func TestUnsettledTurnsAreChargedTheirMaximum(t *testing.T) {
	var l tokenbudget.Ledger
	l.Reserve(start, turn("a"), false)
	late := start.Add(time.Minute)
	_, mark := l.Reserve(late, turn("b"), true)
	require.Equal(t, id.Tokens(800), mark.Tokens)
}

func TestExhaustedProgramIsRefusedAfterRestore(t *testing.T) {
	var l tokenbudget.Ledger
	for i := range 2 {
		attempt := fmt.Sprint(i)
		_, mark := l.Reserve(start, turn(attempt), false)
		l.MarkDurable(mark)
		l.Settle("p", attempt, 400)
	}
	decision, _ := l.Reserve(start, turn("x"), false)
	require.Equal(t, tokenbudget.Exhausted, decision)
	var next tokenbudget.Ledger
	next.Restore(tokenbudget.Watermark{Program: "p", Tokens: 800, ExpiresAt: start.Add(time.Minute)})
	decision, _ = next.Reserve(start.Add(time.Second), turn("y"), false)
	require.Equal(t, tokenbudget.Exhausted, decision)
}

func TestRaiseToReturnsWatermarkToWrite(t *testing.T) {
	var l tokenbudget.Ledger
	l.Restore(tokenbudget.Watermark{Program: "p", Tokens: 100, ExpiresAt: start})
	require.Zero(t, l.RaiseTo("p", 100, start).Tokens)
	require.Equal(t, id.Tokens(900), l.RaiseTo("p", 900, start).Tokens)
	decision, _ := l.Reserve(start, turn("a"), false)
	require.Equal(t, tokenbudget.Exhausted, decision)
}

func TestRemoveExpiredReturnsProgramsWithDurableWatermark(t *testing.T) {
	var l tokenbudget.Ledger
	_, mark := l.Reserve(start, turn("a"), false)
	l.Settle("p", "a", 10)
	l.MarkDurable(mark)
	require.Empty(t, l.RemoveExpired(start.Add(time.Second)))
	require.Equal(t, []id.Program{"p"}, l.RemoveExpired(start.Add(2*time.Minute)))
	require.Zero(t, l.Len())
}

func TestHasUsageOnlyWithSettledOrReservedTokens(t *testing.T) {
	var l tokenbudget.Ledger
	require.False(t, l.HasUsage("p"))
	l.Reserve(start, turn("a"), false)
	require.True(t, l.HasUsage("p"))
	l.Settle("p", "a", 0)
	require.False(t, l.HasUsage("p"), "a first turn that was refused is still the first when it comes again")
}

func TestReportedWatermarksKeepHighest(t *testing.T) {
	var m tokenbudget.ReportedWatermarks
	m.Report(start, "p", 500)
	m.Report(start, "p", 300)
	require.Equal(t, map[id.Program]id.Tokens{"p": 500}, m.Recent(start.Add(time.Second), 2*time.Second))
	require.Empty(t, m.Recent(start.Add(3*time.Second), 2*time.Second))
	m.RemoveOlderThan(start.Add(time.Minute), 10*time.Second)
	require.Empty(t, m.Recent(start, time.Hour))
}

// player plays turns of one program against a ledger whose host may be lost at any moment.
type player struct {
	ledger  tokenbudget.Ledger
	durable tokenbudget.Watermark
	pending []tokenbudget.Watermark
	running map[string]bool
	heard   tokenbudget.ReportedWatermarks
	now     time.Time
	handed  id.Tokens
}

const (
	playedBudget = 2000
	playedMost   = 500
)

func (p *player) begin(attempt string) {
	decision, mark := p.ledger.Reserve(p.now, tokenbudget.Turn{
		Program: "p", Attempt: attempt, BudgetTokens: playedBudget, MaxTokens: playedMost,
		Deadline: p.now.Add(time.Hour), Retention: time.Hour,
	}, false)
	if mark.Tokens > 0 {
		p.pending = append(p.pending, mark)
	}
	if decision == tokenbudget.Admit {
		p.running[attempt] = true
		p.heard.Report(p.now, "p", mark.Tokens)
	}
}

func (p *player) end(rt *rapid.T) {
	for attempt := range p.running {
		tokens := id.Tokens(rapid.IntRange(0, playedMost).Draw(rt, "tokens"))
		p.handed += tokens
		p.ledger.Settle("p", attempt, tokens)
		delete(p.running, attempt)

		return
	}
}

func (p *player) write() {
	for _, mark := range p.pending {
		p.durable = mark
		p.ledger.MarkDurable(mark)
	}
	p.pending = nil
}

// lose replaces the owner; turns that run are answered whole, without the next owner's knowledge.
func (p *player) lose(recalled bool) {
	p.handed += id.Tokens(len(p.running) * playedMost)
	clear(p.running)
	p.pending, p.ledger = nil, tokenbudget.Ledger{}
	if p.durable.Tokens > 0 {
		p.ledger.Restore(tokenbudget.Watermark{Program: "p", Tokens: p.durable.Tokens, ExpiresAt: p.now.Add(time.Hour)})
	}
	if !recalled {
		p.heard = tokenbudget.ReportedWatermarks{}

		return
	}
	for program, tokens := range p.heard.Recent(p.now, time.Hour) {
		if mark := p.ledger.RaiseTo(program, tokens, p.now.Add(time.Hour)); mark.Tokens > 0 {
			p.pending = append(p.pending, mark)
		}
	}
}

func (p *player) step(rt *rapid.T, step int, events []string) string {
	p.now = p.now.Add(10 * time.Millisecond)
	what := rapid.SampledFrom(events).Draw(rt, "what")
	switch what {
	case "begin":
		p.begin(fmt.Sprint(step))
	case "end":
		p.end(rt)
	case "write":
		p.write()
	case "lose-owner":
		p.lose(true)
	case "lose-all":
		p.lose(false)
	}
	require.LessOrEqual(rt, p.handed, id.Tokens(playedBudget+playedMost))

	return what
}

func TestBudgetHoldsAcrossOwnerFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := player{running: map[string]bool{}, now: start}
		for step := range rapid.IntRange(1, 120).Draw(rt, "steps") {
			p.step(rt, step, []string{"begin", "begin", "end", "write", "lose-owner"})
		}
	})
}

func TestBudgetHoldsAcrossFailureOfAllHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := player{running: map[string]bool{}, now: start}
		events := []string{"begin", "begin", "end", "write", "lose-all"}
		for step := range rapid.IntRange(1, 120).Draw(rt, "steps") {
			if p.step(rt, step, events) == "lose-all" {
				events = events[:4]
			}
		}
	})
}
