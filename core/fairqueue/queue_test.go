package fairqueue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/fairqueue"
	"cardamomward/core/id"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "200"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func admitAll[T any](*fairqueue.Entry[T]) fairqueue.AdmitResult { return fairqueue.Admitted }

func newItem(workspace, program string, cost id.Tokens) fairqueue.Item {
	return fairqueue.Item{Workspace: id.Workspace(workspace), Program: id.Program(program), EstimatedTokens: cost}
}

func TestServedCallsFollowWorkspaceWeights(t *testing.T) {
	var q fairqueue.Queue[int]
	for i := range 400 {
		heavy := newItem("heavy", fmt.Sprintf("h%d", i), 100)
		heavy.Weight = 3
		q.Push(start, heavy, i)
		q.Push(start, newItem("light", fmt.Sprintf("l%d", i), 100), i)
	}
	served := map[id.Workspace]int{}
	for range 200 {
		entry, ok := q.Pop(start, admitAll[int])
		require.True(t, ok)
		served[entry.Item.Workspace]++
	}
	require.InDelta(t, 150, served["heavy"], 1)
	require.InDelta(t, 50, served["light"], 1)
}

func TestIdleWorkspaceAccumulatesNoCredit(t *testing.T) {
	var q fairqueue.Queue[int]
	for i := range 300 {
		q.Push(start, newItem("busy", fmt.Sprintf("b%d", i), 100), i)
	}
	for range 100 {
		q.Pop(start, admitAll[int])
	}
	for i := range 100 {
		q.Push(start, newItem("back", fmt.Sprintf("r%d", i), 100), i)
	}
	busy := 0
	for range 20 {
		entry, _ := q.Pop(start, admitAll[int])
		if entry.Item.Workspace == "busy" {
			busy++
		}
	}
	require.InDelta(t, 10, busy, 1)
}

func TestSettleCostCorrectsEstimate(t *testing.T) {
	var q fairqueue.Queue[int]
	for i := range 100 {
		q.Push(start, newItem("guessed-low", fmt.Sprintf("a%d", i), 10), i)
		q.Push(start, newItem("exact", fmt.Sprintf("b%d", i), 100), i)
	}
	served := map[id.Workspace]int{}
	for range 60 {
		entry, _ := q.Pop(start, admitAll[int])
		served[entry.Item.Workspace]++
		q.SettleCost(entry.Item, 100)
	}
	require.InDelta(t, 30, served["guessed-low"], 1)
}

func TestPopPrefersProgramWithLeastAttainedService(t *testing.T) {
	var q fairqueue.Queue[string]
	long := newItem("w", "long", 100)
	long.AttainedTokens = 50_000
	q.Push(start, long, "long")
	q.Push(start.Add(time.Second), newItem("w", "short", 100), "short")
	entry, _ := q.Pop(start, admitAll[string])
	require.Equal(t, "short", entry.Value)
}

func TestAgeingPreventsStarvationOfLongProgram(t *testing.T) {
	var q fairqueue.Queue[string]
	long := newItem("w", "long", 100)
	long.AttainedTokens = 50_000
	q.Push(start, long, "long")
	now := start
	for i := 0; ; i++ {
		now = now.Add(time.Second)
		q.Push(now, newItem("w", fmt.Sprintf("short-%d", i), 100), "short")
		entry, _ := q.Pop(now, admitAll[string])
		if entry.Value == "long" {
			break
		}
		require.Less(t, i, 130)
	}
}

func TestParallelCallsShareTheirProgramsAttainedService(t *testing.T) {
	var q fairqueue.Queue[string]
	for range 8 {
		q.Push(start, newItem("w", "wide", 1000), "wide")
	}
	for i := range 8 {
		q.Push(start, newItem("w", fmt.Sprintf("single-%d", i), 1000), "single")
	}
	q.Pop(start, admitAll[string])
	for range 8 {
		entry, _ := q.Pop(start, admitAll[string])
		require.Equal(t, "single", entry.Value)
	}
}

func TestUrgentClassGoesFirstUpToItsShare(t *testing.T) {
	var q fairqueue.Queue[string]
	for i := range 1000 {
		urgent := newItem("faults", fmt.Sprintf("u%d", i), 10_000)
		urgent.Urgent = true
		q.Push(start, urgent, "urgent")
		q.Push(start, newItem("desk", fmt.Sprintf("r%d", i), 10_000), "routine")
	}
	served := map[string]int{}
	for i := range 1000 {
		entry, _ := q.Pop(start, admitAll[string])
		served[entry.Value]++
		if i < 50 {
			require.Equal(t, "urgent", entry.Value)
		}
	}
	require.Greater(t, served["routine"], 150)
	require.Greater(t, served["urgent"], 750)
}

func TestSkippedCallsDoNotBlockLaterCalls(t *testing.T) {
	var q fairqueue.Queue[string]
	for i := range 100 {
		q.Push(start, newItem("w", fmt.Sprintf("stuck-%d", i), 1), "stuck")
	}
	q.Push(start.Add(time.Minute), newItem("w", "good", 1), "good")
	now := start.Add(time.Minute)
	calls := 0
	for range 10 {
		entry, ok := q.Pop(now, func(e *fairqueue.Entry[string]) fairqueue.AdmitResult {
			calls++
			if e.Value == "stuck" {
				return fairqueue.Skipped
			}

			return fairqueue.Admitted
		})
		if ok {
			require.Equal(t, "good", entry.Value)
			require.LessOrEqual(t, calls, 110)
			require.Equal(t, 100, q.Len())

			return
		}
	}
	require.Fail(t, "the call behind the skipped ones was never served")
}

func TestPopStopsAtClassWithoutCapacity(t *testing.T) {
	var q fairqueue.Queue[int]
	for i := range 100 {
		q.Push(start, newItem(fmt.Sprintf("w%d", i), "p", 1), i)
	}
	calls := 0
	_, ok := q.Pop(start, func(*fairqueue.Entry[int]) fairqueue.AdmitResult {
		calls++

		return fairqueue.NoCapacity
	})
	require.False(t, ok)
	require.Equal(t, 1, calls)
}

func TestEachCallIsPoppedOnceOrRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q fairqueue.Queue[int]
		waiting := map[int]*fairqueue.Entry[int]{}
		var running []fairqueue.Item
		now := start
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := newItem(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "program"), id.Tokens(rapid.IntRange(1, 9000).Draw(t, "cost")))
				it.Urgent = rapid.Bool().Draw(t, "urgent")
				waiting[next] = q.Push(now, it, next)
				next++
			},
			"pop": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
				result := rapid.SampledFrom([]fairqueue.AdmitResult{fairqueue.Admitted, fairqueue.Skipped, fairqueue.NoCapacity}).Draw(t, "admit result")
				entry, ok := q.Pop(now, func(*fairqueue.Entry[int]) fairqueue.AdmitResult { return result })
				require.Equal(t, ok, ok && result == fairqueue.Admitted)
				if ok {
					require.Contains(t, waiting, entry.Value)
					delete(waiting, entry.Value)
					running = append(running, entry.Item)
				}
			},
			"remove": func(t *rapid.T) {
				n := rapid.IntRange(0, 50).Draw(t, "which")
				if entry, ok := waiting[n]; ok {
					require.True(t, q.Remove(entry))
					require.False(t, q.Remove(entry))
					delete(waiting, n)
				}
			},
			"charge": func(t *rapid.T) {
				if len(running) > 0 {
					q.SettleCost(running[0], id.Tokens(rapid.IntRange(0, 9000).Draw(t, "served")))
					running = running[1:]
				}
			},
			"": func(t *rapid.T) { require.Equal(t, len(waiting), q.Len()) },
		})
		now = now.Add(time.Second)
		for range len(waiting) {
			entry, ok := q.Pop(now, admitAll[int])
			require.True(t, ok)
			delete(waiting, entry.Value)
		}
		require.Empty(t, waiting)
	})
}
