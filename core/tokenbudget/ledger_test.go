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
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500", "rapid.nofailfile": "true"} {
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
	decision, watermark := l.Reserve(start, turn("a"), false)
	require.Equal(t, tokenbudget.Admit, decision)
	require.Equal(t, id.Tokens(400), watermark.Tokens)
}

func TestSecondTurnWaitsForDurableWatermarkOfFirst(t *testing.T) {
	var l tokenbudget.Ledger
	_, watermark := l.Reserve(start, turn("a"), false)
	decision, _ := l.Reserve(start, turn("b"), false)
	require.Equal(t, tokenbudget.AwaitDurable, decision)
	l.MarkDurable(watermark)
	decision, _ = l.Reserve(start, turn("b"), false)
	require.Equal(t, tokenbudget.Admit, decision)
}

func TestTurnSettledBeforeReserveHoldsNoTokens(t *testing.T) {
	var l tokenbudget.Ledger
	l.Settle("p", "late", 0)
	decision, watermark := l.Reserve(start, turn("late"), false)
	require.Equal(t, tokenbudget.AlreadySettled, decision)
	require.Zero(t, watermark.Tokens)
	decision, watermark = l.Reserve(start, turn("next"), false)
	require.Equal(t, tokenbudget.Admit, decision)
	require.Equal(t, id.Tokens(400), watermark.Tokens, "the settled turn reserves no tokens")
}

func largeTurn(attempt string) tokenbudget.Turn {
	large := turn(attempt)
	large.BudgetTokens = 3200

	return large
}

func TestTurnsAreAdmittedFromMemoryWhileStoreIsUnavailable(t *testing.T) {
	var l tokenbudget.Ledger
	for _, attempt := range []string{"a", "b", "c"} {
		decision, _ := l.Reserve(start, largeTurn(attempt), true)
		require.Equal(t, tokenbudget.Admit, decision, attempt)
	}
	decision, watermark := l.Reserve(start, largeTurn("d"), true)
	require.Equal(t, tokenbudget.AwaitDurable, decision, "a quarter of the budget and a turn may be spent undurably")
	l.MarkDurable(watermark)
	decision, _ = l.Reserve(start, largeTurn("d"), true)
	require.Equal(t, tokenbudget.Admit, decision)
}

// Turns generate far less than their maximum, which they reserve only while they run.
func TestProgramWithLongestTurnsOfQuarterOfItsBudgetRunsThroughOutage(t *testing.T) {
	const outageTurns = 4
	var l tokenbudget.Ledger
	for i := range outageTurns {
		next := turn(fmt.Sprint(i))
		next.BudgetTokens = 4 * next.MaxTokens
		decision, _ := l.Reserve(start, next, true)
		require.Equal(t, tokenbudget.Admit, decision, "turn %d", i)
		l.Settle("p", next.Attempt, next.MaxTokens/4)
	}
}

func TestUndurableTurnsAreChargedOnceAfterLossOfAllHosts(t *testing.T) {
	for name, restored := range map[string]id.Tokens{"with a watermark": 400, "without a watermark": 0} {
		t.Run(name, func(t *testing.T) {
			var l tokenbudget.Ledger
			if restored > 0 {
				l.Restore(tokenbudget.Watermark{Program: "p", Tokens: restored, ExpiresAt: start.Add(time.Minute), WrittenAt: start.Add(-time.Second)})
			}
			l.AssumeLoss(start)
			require.Equal(t, restored > 0, l.HasUsage("p"))
			for range 2 {
				_, watermark := l.Reserve(start, largeTurn("a"), false)
				require.Equal(t, restored+800+400, watermark.Tokens)
			}
		})
	}
}

func TestChargeForLossAloneDoesNotExhaustBudgetWhileTurnsRun(t *testing.T) {
	var l tokenbudget.Ledger
	l.AssumeLoss(start)
	sized := func(attempt string) tokenbudget.Turn {
		sized := turn(attempt)
		sized.BudgetTokens = 1200

		return sized
	}
	_, watermark := l.Reserve(start, sized("a"), false)
	l.MarkDurable(watermark)
	_, watermark = l.Reserve(start, sized("b"), false)
	l.MarkDurable(watermark)
	decision, _ := l.Reserve(start, sized("c"), false)
	require.Equal(t, tokenbudget.AwaitDurable, decision, "800 run, 300 are charged and 400 asked for")
	l.Settle("p", "a", 100)
	decision, _ = l.Reserve(start, sized("c"), false)
	require.Equal(t, tokenbudget.Admit, decision)
	l.Settle("p", "b", 400)
	l.Settle("p", "c", 400)
	decision, _ = l.Reserve(start, sized("d"), false)
	require.Equal(t, tokenbudget.Exhausted, decision)
}

func TestTurnsWrittenSinceLossAreNotCharged(t *testing.T) {
	var l tokenbudget.Ledger
	l.AssumeLoss(start)
	l.Restore(tokenbudget.Watermark{Program: "p", Tokens: 400, ExpiresAt: start.Add(time.Minute), WrittenAt: start})
	require.EqualValues(t, 400, l.Count("p").Tokens)
	_, watermark := l.Reserve(start, largeTurn("a"), true)
	require.EqualValues(t, 800, watermark.Tokens)
}

// Hosts that are left after a loss may remember an earlier count than those that were lost.
func TestReportedCountIsChargedWhatLaterTurnsMayHaveSpent(t *testing.T) {
	const durable, charge, maxTokens = 200, 800, 400
	for name, test := range map[string]struct{ reported, want id.Tokens }{
		"nothing is reported":    {0, durable + charge + maxTokens},
		"some turns":             {durable + 300, durable + charge + maxTokens},
		"all undurable turns":    {durable + charge, durable + charge + maxTokens},
		"beyond what is charged": {durable + charge + 100, durable + charge + 100 + maxTokens},
	} {
		t.Run(name, func(t *testing.T) {
			var l tokenbudget.Ledger
			l.Restore(tokenbudget.Watermark{Program: "p", Tokens: durable, ExpiresAt: start.Add(time.Minute), WrittenAt: start.Add(-time.Second)})
			l.AssumeLoss(start)
			watermark := l.RaiseTo("p", tokenbudget.Count{Tokens: test.reported}, start.Add(time.Minute))
			require.Equal(t, test.reported > durable, watermark.LossUncharged)
			if watermark.Tokens > 0 {
				l.MarkDurable(watermark)
			}
			_, watermark = l.Reserve(start, largeTurn("a"), false)
			require.Equal(t, test.want, watermark.Tokens)
			require.False(t, watermark.LossUncharged)
		})
	}
}

// The charge alone must not make an owner ask other hosts for copies of a count.
func TestChargeForLossIsNotUndurable(t *testing.T) {
	var l tokenbudget.Ledger
	l.AssumeLoss(start)
	require.Zero(t, l.Undurable("p"))
	l.Reserve(start, largeTurn("a"), false)
	require.EqualValues(t, 800+400, l.Count("p").Tokens)
	require.EqualValues(t, 400, l.Undurable("p"))
}

// The first owner after a loss writes counts that hosts report before their programs return and are charged.
func TestWatermarkWithoutChargeIsChargedByNextOwner(t *testing.T) {
	var l tokenbudget.Ledger
	l.AssumeLoss(start)
	l.Restore(tokenbudget.Watermark{
		Program: "p", Tokens: 400, ExpiresAt: start.Add(time.Minute), WrittenAt: start.Add(time.Second), ChargedLoss: start, LossUncharged: true,
	})
	_, watermark := l.Reserve(start.Add(time.Second), largeTurn("a"), false)
	require.EqualValues(t, 400+800+400, watermark.Tokens)
}

// The next owner of a slot reads watermarks that include the charge, and must not charge their programs again.
func TestChargeForLossThatWatermarkIncludesIsNotRepeated(t *testing.T) {
	for name, test := range map[string]struct {
		charged, assumed time.Time
		want             id.Tokens
	}{
		"charged":           {charged: start, assumed: start, want: 400 + 400},
		"for a later loss":  {charged: start, assumed: start.Add(5 * time.Second), want: 400 + 800 + 400},
		"only a later loss": {assumed: start.Add(5 * time.Second), want: 400 + 800 + 400},
	} {
		t.Run(name, func(t *testing.T) {
			var l tokenbudget.Ledger
			l.AssumeLoss(test.assumed)
			l.AssumeLoss(test.charged)
			require.Equal(t, test.assumed, l.AssumedLoss(), "the latest loss counts")
			l.Restore(tokenbudget.Watermark{
				Program: "p", Tokens: 400, ExpiresAt: start.Add(time.Minute), WrittenAt: start.Add(-100 * time.Millisecond), ChargedLoss: test.charged,
			})
			_, watermark := l.Reserve(start.Add(6*time.Second), largeTurn("a"), false)
			require.Equal(t, test.want, watermark.Tokens)
		})
	}
}

// Without the limit each program that starts at an owner for as long as it owns its slot would lose a quarter of its budget.
func TestProgramThatComesLongAfterLossIsNotCharged(t *testing.T) {
	var l tokenbudget.Ledger
	l.AssumeLoss(start)
	_, watermark := l.Reserve(start.Add(largeTurn("a").Retention), largeTurn("a"), false)
	require.EqualValues(t, 400, watermark.Tokens)
}

func TestSmallBudgetIsNotSpentFromMemoryWhileStoreIsUnavailable(t *testing.T) {
	var l tokenbudget.Ledger
	decision, _ := l.Reserve(start, turn("a"), true)
	require.Equal(t, tokenbudget.Admit, decision)
	decision, _ = l.Reserve(start, turn("b"), true)
	require.Equal(t, tokenbudget.AwaitDurable, decision, "a loss of all hosts would let the program spend two turns too many")
}

func TestExhaustedBudgetReturnsWatermarkToWrite(t *testing.T) {
	var l tokenbudget.Ledger
	l.Reserve(start, turn("a"), false)
	l.Settle("p", "a", 400)
	l.MarkDurable(tokenbudget.Watermark{Program: "p", Tokens: 400})
	l.Reserve(start, turn("b"), false)
	decision, watermark := l.Reserve(start, turn("c"), true)
	require.Equal(t, tokenbudget.Exhausted, decision)
	require.Equal(t, id.Tokens(800), watermark.Tokens, "the count of a refused program is made durable, so that a new owner refuses it too")
}

func TestRepeatedRequestsAreCountedOnce(t *testing.T) {
	var l tokenbudget.Ledger
	l.Reserve(start, turn("a"), false)
	decision, watermark := l.Reserve(start, turn("a"), false)
	require.Equal(t, tokenbudget.Admit, decision)
	require.Equal(t, id.Tokens(400), watermark.Tokens)
	l.Settle("p", "a", 100)
	l.Settle("p", "a", 100)
	l.MarkDurable(tokenbudget.Watermark{Program: "p", Tokens: 400})
	_, watermark = l.Reserve(start, turn("b"), false)
	require.Equal(t, id.Tokens(500), watermark.Tokens)
}

func TestUnsettledTurnsAreChargedTheirMaximum(t *testing.T) {
	var l tokenbudget.Ledger
	_, first := l.Reserve(start, turn("a"), false)
	l.MarkDurable(first)
	late := start.Add(time.Minute)
	_, watermark := l.Reserve(late, turn("b"), false)
	require.Equal(t, id.Tokens(800), watermark.Tokens)
}

func TestExhaustedProgramIsRefusedAfterRestore(t *testing.T) {
	var l tokenbudget.Ledger
	for i := range 2 {
		attempt := fmt.Sprint(i)
		_, watermark := l.Reserve(start, turn(attempt), false)
		l.MarkDurable(watermark)
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
	require.Zero(t, l.RaiseTo("p", tokenbudget.Count{Tokens: 100}, start).Tokens)
	require.Equal(t, id.Tokens(900), l.RaiseTo("p", tokenbudget.Count{Tokens: 900}, start).Tokens)
	decision, _ := l.Reserve(start, turn("a"), false)
	require.Equal(t, tokenbudget.Exhausted, decision)
}

func TestRemoveExpiredReturnsProgramsWithDurableWatermark(t *testing.T) {
	var l tokenbudget.Ledger
	_, watermark := l.Reserve(start, turn("a"), false)
	l.Settle("p", "a", 10)
	l.MarkDurable(watermark)
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
	require.False(t, l.HasUsage("p"), "a refused first turn counts as the first again when it is retried")
}

func TestReportedWatermarksKeepHighest(t *testing.T) {
	var m tokenbudget.ReportedWatermarks
	highest := tokenbudget.Count{Tokens: 500, Durable: 200}
	m.Report(start, "p", highest)
	m.Report(start, "p", tokenbudget.Count{Tokens: 300, Durable: 300})
	require.Equal(t, map[id.Program]tokenbudget.Count{"p": highest}, m.Recent(start.Add(time.Second), 2*time.Second))
	require.Empty(t, m.Recent(start.Add(3*time.Second), 2*time.Second))
	m.RemoveOlderThan(start.Add(time.Minute), 10*time.Second)
	require.Empty(t, m.Recent(start, time.Hour))
}

// simulation runs turns of one program against a ledger whose owner may fail at any time.
type simulation struct {
	ledger          tokenbudget.Ledger
	durable         tokenbudget.Watermark
	pending         []tokenbudget.Watermark
	running         map[string]bool
	reported        tokenbudget.ReportedWatermarks
	now             time.Time
	generatedTokens id.Tokens
	// storeUnavailable is set during an outage of the store, in which no watermark becomes durable.
	storeUnavailable bool
}

const (
	simulatedBudget    = 2000
	simulatedMaxTokens = 500
)

func (s *simulation) reserve(attempt string) {
	decision, watermark := s.ledger.Reserve(s.now, tokenbudget.Turn{
		Program: "p", Attempt: attempt, BudgetTokens: simulatedBudget, MaxTokens: simulatedMaxTokens,
		Deadline: s.now.Add(time.Hour), Retention: time.Hour,
	}, s.storeUnavailable)
	if watermark.Tokens > 0 {
		s.pending = append(s.pending, watermark)
	}
	if decision == tokenbudget.Admit {
		s.running[attempt] = true
		s.reported.Report(s.now, "p", tokenbudget.Count{Tokens: watermark.Tokens})
	}
}

func (s *simulation) settle(rt *rapid.T) {
	for attempt := range s.running {
		tokens := id.Tokens(rapid.IntRange(0, simulatedMaxTokens).Draw(rt, "tokens"))
		s.generatedTokens += tokens
		s.ledger.Settle("p", attempt, tokens)
		delete(s.running, attempt)

		return
	}
}

func (s *simulation) writeWatermarks() {
	if s.storeUnavailable {
		return
	}
	for _, watermark := range s.pending {
		s.durable = watermark
		s.ledger.MarkDurable(watermark)
	}
	s.pending = nil
}

// failOwner replaces the owner. Running turns generate all of their tokens, which the new owner does not know of. With
// restoreReported, the new owner restores the counts that other hosts have received.
func (s *simulation) failOwner(restoreReported bool) {
	s.generatedTokens += id.Tokens(len(s.running) * simulatedMaxTokens)
	clear(s.running)
	s.pending, s.ledger = nil, tokenbudget.Ledger{}
	if s.durable.Tokens > 0 {
		s.ledger.Restore(tokenbudget.Watermark{Program: "p", Tokens: s.durable.Tokens, ExpiresAt: s.now.Add(time.Hour)})
	}
	if !restoreReported {
		s.reported = tokenbudget.ReportedWatermarks{}
		s.ledger.AssumeLoss(s.now)

		return
	}
	for program, count := range s.reported.Recent(s.now, time.Hour) {
		if watermark := s.ledger.RaiseTo(program, count, s.now.Add(time.Hour)); watermark.Tokens > 0 {
			s.pending = append(s.pending, watermark)
		}
	}
}

func (s *simulation) step(rt *rapid.T, step int, events []string) string {
	s.now = s.now.Add(10 * time.Millisecond)
	event := rapid.SampledFrom(events).Draw(rt, "what")
	switch event {
	case "begin":
		s.reserve(fmt.Sprint(step))
	case "end":
		s.settle(rt)
	case "write":
		s.writeWatermarks()
	case "lose-owner":
		s.failOwner(true)
	case "outage":
		s.storeUnavailable = true
	case "recovery":
		s.storeUnavailable = false
	case "lose-all":
		s.failOwner(false)
	case "lose-holders":
		s.loseHolders(rt)
	}
	require.LessOrEqual(rt, s.generatedTokens, id.Tokens(simulatedBudget+simulatedMaxTokens))

	return event
}

func TestBudgetHoldsAcrossOwnerFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := simulation{running: map[string]bool{}, now: start}
		for step := range rapid.IntRange(1, 120).Draw(rt, "steps") {
			s.step(rt, step, []string{"begin", "begin", "end", "write", "lose-owner"})
		}
	})
}

// loseHolders replaces the owner, while the hosts that are left have heard of a part of the tokens that are not durable.
func (s *simulation) loseHolders(rt *rapid.T) {
	s.generatedTokens += id.Tokens(len(s.running) * simulatedMaxTokens)
	highest := s.reported.Recent(s.now, time.Hour)["p"].Tokens
	clear(s.running)
	s.pending, s.ledger, s.reported = nil, tokenbudget.Ledger{}, tokenbudget.ReportedWatermarks{}
	s.ledger.AssumeLoss(s.now)
	if s.durable.Tokens > 0 {
		s.ledger.Restore(tokenbudget.Watermark{Program: "p", Tokens: s.durable.Tokens, ExpiresAt: s.now.Add(time.Hour)})
	}
	count := tokenbudget.Count{Tokens: id.Tokens(rapid.IntRange(0, int(highest)).Draw(rt, "heard"))}
	if watermark := s.ledger.RaiseTo("p", count, s.now.Add(time.Hour)); watermark.Tokens > 0 {
		s.pending = append(s.pending, watermark)
	}
}

func TestBudgetHoldsIfHostsThatAreLeftRememberEarlierCount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := simulation{running: map[string]bool{}, now: start}
		events := []string{"begin", "begin", "end", "write", "outage", "recovery", "lose-holders"}
		for step := range rapid.IntRange(1, 120).Draw(rt, "steps") {
			if s.step(rt, step, events) == "lose-holders" {
				events = events[:6]
			}
		}
	})
}

func TestBudgetHoldsAcrossFailureOfAllHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := simulation{running: map[string]bool{}, now: start}
		events := []string{"begin", "begin", "end", "write", "lose-all"}
		for step := range rapid.IntRange(1, 120).Draw(rt, "steps") {
			if s.step(rt, step, events) == "lose-all" {
				events = events[:4]
			}
		}
	})
}

func TestBudgetHoldsAcrossFailureOfAllHostsDuringOutage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := simulation{running: map[string]bool{}, now: start}
		events := []string{"begin", "begin", "end", "write", "outage", "recovery", "lose-all"}
		for step := range rapid.IntRange(1, 120).Draw(rt, "steps") {
			if s.step(rt, step, events) == "lose-all" {
				events = events[:6]
			}
		}
	})
}

// Forgets the count of a program and admits its turns in an outage as those of a new one.
func TestForgottenCountOverspendsOnlyWhereThatIsReported(t *testing.T) {
	const budget, maxTokens = 1000, 50
	for spent := id.Tokens(0); spent <= budget; spent += maxTokens {
		var forgotten tokenbudget.Ledger
		total := spent
		for attempt := 0; ; attempt++ {
			decision, _ := forgotten.Reserve(start, tokenbudget.Turn{
				Program: "p", Attempt: fmt.Sprint(attempt), BudgetTokens: budget, MaxTokens: maxTokens,
				Deadline: start.Add(3 * time.Second), Retention: time.Minute,
			}, true)
			if decision != tokenbudget.Admit {
				break
			}
			total += maxTokens
		}
		if total > budget+maxTokens {
			require.True(t, tokenbudget.MayOverspendIfForgotten(spent, maxTokens, budget), "%d tokens were spent before", spent)
		}
	}
	require.False(t, tokenbudget.MayOverspendIfForgotten(budget/2, maxTokens, budget))
}
