package queue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/id"
	"cardamomward/core/queue"
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

func take[T any](*queue.Ticket[T]) queue.Verdict { return queue.Taken }

func item(workspace, program string, cost id.Tokens) queue.Item {
	return queue.Item{Workspace: id.Workspace(workspace), Program: id.Program(program), Cost: cost}
}

func TestSharesFollowWeights(t *testing.T) {
	var q queue.Queue[int]
	for i := range 400 {
		heavy := item("heavy", fmt.Sprintf("h%d", i), 100)
		heavy.Weight = 3
		q.Push(start, heavy, i)
		q.Push(start, item("light", fmt.Sprintf("l%d", i), 100), i)
	}
	served := map[id.Workspace]int{}
	for range 200 {
		ticket, ok := q.Pop(start, take[int])
		require.True(t, ok)
		served[ticket.Item.Workspace]++
	}
	require.InDelta(t, 150, served["heavy"], 1)
	require.InDelta(t, 50, served["light"], 1)
}

func TestIdleWorkspaceSavesNoShare(t *testing.T) {
	var q queue.Queue[int]
	for i := range 300 {
		q.Push(start, item("busy", fmt.Sprintf("b%d", i), 100), i)
	}
	for range 100 {
		q.Pop(start, take[int])
	}
	for i := range 100 {
		q.Push(start, item("back", fmt.Sprintf("r%d", i), 100), i)
	}
	busy := 0
	for range 20 {
		ticket, _ := q.Pop(start, take[int])
		if ticket.Item.Workspace == "busy" {
			busy++
		}
	}
	require.InDelta(t, 10, busy, 1)
}

func TestChargeCorrectsTheEstimate(t *testing.T) {
	var q queue.Queue[int]
	for i := range 100 {
		q.Push(start, item("guessed-low", fmt.Sprintf("a%d", i), 10), i)
		q.Push(start, item("exact", fmt.Sprintf("b%d", i), 100), i)
	}
	served := map[id.Workspace]int{}
	for range 60 {
		ticket, _ := q.Pop(start, take[int])
		served[ticket.Item.Workspace]++
		q.Charge(ticket.Item, 100)
	}
	require.InDelta(t, 30, served["guessed-low"], 1)
}

func TestLeastAttainedProgramFirst(t *testing.T) {
	var q queue.Queue[string]
	long := item("w", "long", 100)
	long.Attained = 50_000
	q.Push(start, long, "long")
	q.Push(start.Add(time.Second), item("w", "short", 100), "short")
	ticket, _ := q.Pop(start, take[string])
	require.Equal(t, "short", ticket.Value)
}

func TestLongProgramAges(t *testing.T) {
	var q queue.Queue[string]
	long := item("w", "long", 100)
	long.Attained = 50_000
	q.Push(start, long, "long")
	now := start
	for i := 0; ; i++ {
		now = now.Add(time.Second)
		q.Push(now, item("w", fmt.Sprintf("short-%d", i), 100), "short")
		ticket, _ := q.Pop(now, take[string])
		if ticket.Value == "long" {
			break
		}
		require.Less(t, i, 130)
	}
}

func TestSubAgentsCountAsOneProgram(t *testing.T) {
	var q queue.Queue[string]
	for range 8 {
		q.Push(start, item("w", "wide", 1000), "wide")
	}
	for i := range 8 {
		q.Push(start, item("w", fmt.Sprintf("single-%d", i), 1000), "single")
	}
	q.Pop(start, take[string])
	for range 8 {
		ticket, _ := q.Pop(start, take[string])
		require.Equal(t, "single", ticket.Value)
	}
}

func TestUrgentFirstUpToItsShare(t *testing.T) {
	var q queue.Queue[string]
	for i := range 1000 {
		urgent := item("faults", fmt.Sprintf("u%d", i), 10_000)
		urgent.Urgent = true
		q.Push(start, urgent, "urgent")
		q.Push(start, item("desk", fmt.Sprintf("r%d", i), 10_000), "routine")
	}
	served := map[string]int{}
	for i := range 1000 {
		ticket, _ := q.Pop(start, take[string])
		served[ticket.Value]++
		if i < 50 {
			require.Equal(t, "urgent", ticket.Value)
		}
	}
	require.Greater(t, served["routine"], 150)
	require.Greater(t, served["urgent"], 750)
}

func TestPassedCallBlocksNobody(t *testing.T) {
	var q queue.Queue[string]
	for i := range 100 {
		q.Push(start, item("w", fmt.Sprintf("stuck-%d", i), 1), "stuck")
	}
	q.Push(start.Add(time.Minute), item("w", "good", 1), "good")
	now := start.Add(time.Minute)
	calls := 0
	for range 10 {
		ticket, ok := q.Pop(now, func(t *queue.Ticket[string]) queue.Verdict {
			calls++
			if t.Value == "stuck" {
				return queue.Passed
			}

			return queue.Taken
		})
		if ok {
			require.Equal(t, "good", ticket.Value)
			require.LessOrEqual(t, calls, 110)
			require.Equal(t, 100, q.Len())

			return
		}
	}
	require.Fail(t, "the call behind those that no upstream takes was never served")
}

func TestFullEndsTheSearch(t *testing.T) {
	var q queue.Queue[int]
	for i := range 100 {
		q.Push(start, item(fmt.Sprintf("w%d", i), "p", 1), i)
	}
	calls := 0
	_, ok := q.Pop(start, func(*queue.Ticket[int]) queue.Verdict {
		calls++

		return queue.Full
	})
	require.False(t, ok)
	require.Equal(t, 1, calls)
}

func TestEachCallIsServedOnceOrRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue.Queue[int]
		waiting := map[int]*queue.Ticket[int]{}
		var running []queue.Item
		now := start
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "program"), id.Tokens(rapid.IntRange(1, 9000).Draw(t, "cost")))
				it.Urgent = rapid.Bool().Draw(t, "urgent")
				waiting[next] = q.Push(now, it, next)
				next++
			},
			"pop": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
				verdict := rapid.SampledFrom([]queue.Verdict{queue.Taken, queue.Passed, queue.Full}).Draw(t, "verdict")
				ticket, ok := q.Pop(now, func(*queue.Ticket[int]) queue.Verdict { return verdict })
				require.Equal(t, ok, ok && verdict == queue.Taken)
				if ok {
					require.Contains(t, waiting, ticket.Value)
					delete(waiting, ticket.Value)
					running = append(running, ticket.Item)
				}
			},
			"remove": func(t *rapid.T) {
				n := rapid.IntRange(0, 50).Draw(t, "which")
				if ticket, ok := waiting[n]; ok {
					require.True(t, q.Remove(ticket))
					require.False(t, q.Remove(ticket))
					delete(waiting, n)
				}
			},
			"charge": func(t *rapid.T) {
				if len(running) > 0 {
					q.Charge(running[0], id.Tokens(rapid.IntRange(0, 9000).Draw(t, "served")))
					running = running[1:]
				}
			},
			"": func(t *rapid.T) { require.Equal(t, len(waiting), q.Len()) },
		})
		now = now.Add(time.Second)
		for range len(waiting) {
			ticket, ok := q.Pop(now, take[int])
			require.True(t, ok)
			delete(waiting, ticket.Value)
		}
		require.Empty(t, waiting)
	})
}
