package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/placement"
	"cardamomward/core/prompt"
)

var start = time.Unix(1_000_000, 0)

// fresh returns an index of idle upstreams that have just reported.
func fresh(upstreams, slots int) *placement.Index {
	x := &placement.Index{}
	x.Seed(1)
	for i := range upstreams {
		name := upstream(i)
		x.Set(name, id.FailureDomain(fmt.Sprintf("domain-%d", i%4)))
		x.Report(name, start, placement.Load{Slots: slots, PrefillPerSecond: 8000})
	}

	return x
}

func upstream(i int) id.Upstream { return id.Upstream(fmt.Sprintf("engine-%05d", i)) }

// conversation returns a request with a prefix for each of some turns of 100 tokens.
func conversation(program, turns int) placement.Request {
	req := placement.Request{Continues: turns > 1}
	for i := range turns {
		req.PromptTokens += 100
		req.Chain = append(req.Chain, prompt.PrefixHash(program*1000+i+1))
		req.Tokens = append(req.Tokens, req.PromptTokens)
	}

	return req
}

func TestChoosesTheUpstreamThatHoldsThePrefix(t *testing.T) {
	x := fresh(1000, 16)
	req := conversation(1, 50)
	for _, prefix := range req.Chain {
		x.Stored(upstream(777), prefix)
	}
	chosen, outcome := x.Choose(start, &req)
	require.Equal(t, placement.Chosen, outcome)
	require.Equal(t, upstream(777), chosen)
	x.Gap(upstream(777))
	chosen, _ = x.Choose(start, &req)
	require.Equal(t, upstream(777), chosen, "a gap in the events is not an empty cache")
	x.Clear(upstream(777))
	chosen, _ = x.Choose(start, &req)
	require.NotEqual(t, upstream(777), chosen)
}

func TestForgetsPrefixesAfterManyGaps(t *testing.T) {
	x := fresh(1000, 16)
	req := conversation(1, 50)
	x.Stored(upstream(777), req.Chain[49])
	for range 8 {
		x.Gap(upstream(777))
	}
	chosen, _ := x.Choose(start, &req)
	require.NotEqual(t, upstream(777), chosen)
}

func TestPrefersItsFailureDomain(t *testing.T) {
	x := fresh(8, 16)
	req := conversation(1, 1)
	req.FailureDomain = "domain-2"
	chosen, _ := x.Choose(start, &req)
	require.Contains(t, []id.Upstream{upstream(2), upstream(6)}, chosen)
}

func TestHoldsForTheSavingAndNoLonger(t *testing.T) {
	x := fresh(2, 4)
	req := conversation(1, 100)
	for _, prefix := range req.Chain {
		x.Stored(upstream(0), prefix)
	}
	x.Report(upstream(0), start, placement.Load{Slots: 4, Running: 4, Waiting: 4, PrefillPerSecond: 800})
	x.Report(upstream(1), start, placement.Load{Slots: 4, PrefillPerSecond: 800})
	_, outcome := x.Choose(start, &req)
	require.Equal(t, placement.Hold, outcome)
	req.Waited = 5 * time.Minute
	chosen, outcome := x.Choose(start, &req)
	require.Equal(t, placement.Chosen, outcome)
	require.Equal(t, upstream(1), chosen)
}

func TestFullAndExcluded(t *testing.T) {
	x := fresh(2, 4)
	for i := range 2 {
		x.Report(upstream(i), start, placement.Load{Slots: 4, Running: 4, Waiting: 4, PrefillPerSecond: 800})
	}
	req := conversation(1, 1)
	_, outcome := x.Choose(start, &req)
	require.Equal(t, placement.Full, outcome)
	x.Report(upstream(1), start, placement.Load{Slots: 4, PrefillPerSecond: 800})
	req.Exclude = map[id.Upstream]bool{upstream(1): true}
	_, outcome = x.Choose(start, &req)
	require.Equal(t, placement.Excluded, outcome)
	req.Exclude = nil
	x.SetAvailable(upstream(1), false)
	_, outcome = x.Choose(start, &req)
	require.Equal(t, placement.Full, outcome)
}

func TestAHostBelowItsPartIsNotShutOut(t *testing.T) {
	x := fresh(1, 16)
	x.Hosts = 12
	x.Report(upstream(0), start, placement.Load{Slots: 16, Running: 16, Waiting: 8, PrefillPerSecond: 800})
	req := conversation(1, 1)
	_, outcome := x.Choose(start, &req)
	require.Equal(t, placement.Chosen, outcome)
}

func TestOwnCallsCountBeforeTheReportShowsThem(t *testing.T) {
	x := fresh(1, 4)
	req := conversation(1, 1)
	sent := 0
	for ; sent < 100; sent++ {
		chosen, outcome := x.Choose(start, &req)
		if outcome != placement.Chosen {
			break
		}
		x.Begin(chosen, start.Add(time.Millisecond))
	}
	require.Equal(t, 6, sent, "four slots and two that may wait")
	x.Report(upstream(0), start.Add(time.Second), placement.Load{Slots: 4, Running: 4, Waiting: 2, PrefillPerSecond: 800})
	_, outcome := x.Choose(start.Add(time.Second), &req)
	require.Equal(t, placement.Full, outcome)
	x.End(upstream(0), start.Add(2*time.Second))
	_, outcome = x.Choose(start.Add(2*time.Second), &req)
	require.Equal(t, placement.Chosen, outcome)
}

func BenchmarkChooseContinuing(b *testing.B) {
	for _, size := range []struct{ upstreams, turns int }{{12, 20}, {10_000, 20}, {10_000, 110}} {
		b.Run(fmt.Sprintf("upstreams=%d/turns=%d", size.upstreams, size.turns), func(b *testing.B) {
			x := fresh(size.upstreams, 16)
			x.Hosts = 10
			const programs = 100
			requests := make([]placement.Request, programs)
			for p := range requests {
				requests[p] = conversation(p, 2*size.turns)
				for _, prefix := range requests[p].Chain[:size.turns] {
					x.Stored(upstream(p%size.upstreams), prefix)
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				chosen, outcome := x.Choose(start, &requests[i%programs])
				if outcome == placement.Chosen {
					x.Begin(chosen, start)
					x.End(chosen, start)
				}
			}
		})
	}
}
