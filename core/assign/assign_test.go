package assign_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/assign"
	"cardamomward/core/id"
	"cardamomward/core/registry"
)

func engines(n int) []*registry.Instance {
	list := make([]*registry.Instance, 0, n)
	for i := range n {
		list = append(list, &registry.Instance{ID: id.Upstream(fmt.Sprintf("u%d", i)), Concurrency: 16})
	}

	return list
}

// turn is the third turn of a line: 12,600 shared tokens, 2,500 of its own, most of them kept where it last ran.
func turn(last id.Upstream) assign.Work {
	return assign.Work{Line: "l", Generates: true, Shared: 12_600, Own: 2_500, Last: last, Kept: 1_700, Output: 250}
}

func conditions(running map[id.Upstream]int, keeps bool) func(*registry.Instance) assign.Condition {
	return func(instance *registry.Instance) assign.Condition {
		return assign.Condition{Running: running[instance.ID], Pace: 1.2, KeepsShared: keeps}
	}
}

func TestLinesStayWhereTheirPromptIsKept(t *testing.T) {
	for _, tt := range []struct {
		name    string
		running map[id.Upstream]int
		want    id.Upstream
	}{
		{"evenly loaded", map[id.Upstream]int{"u0": 8, "u1": 8, "u2": 8}, "u1"},
		{"a little busier", map[id.Upstream]int{"u0": 8, "u1": 9, "u2": 8}, "u1"},
		{"full", map[id.Upstream]int{"u0": 5, "u1": 24, "u2": 8}, "u0"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			chosen := assign.Choose(engines(3), turn("u1"), conditions(tt.running, true), nil)
			require.Equal(t, tt.want, chosen.ID)
		})
	}
}

func TestNewLinesGoWhereTheSharedPartIsKept(t *testing.T) {
	work := turn("")
	condition := func(instance *registry.Instance) assign.Condition {
		return assign.Condition{Running: map[id.Upstream]int{"u0": 2, "u1": 4}[instance.ID], Pace: 1.2, KeepsShared: instance.ID == "u1"}
	}
	require.Equal(t, id.Upstream("u1"), assign.Choose(engines(2), work, condition, nil).ID)
}

func TestSlowAndFailingUpstreamsAreAvoided(t *testing.T) {
	slow := func(instance *registry.Instance) assign.Condition {
		c := assign.Condition{Pace: 1.2, KeepsShared: true}
		if instance.ID == "u0" {
			c.Pace = 6
		}

		return c
	}
	failing := func(instance *registry.Instance) assign.Condition {
		c := assign.Condition{Pace: 10}
		if instance.ID == "u0" {
			c.Failing = 1
		}

		return c
	}
	for i := range 20 {
		work := turn("")
		work.Line = fmt.Sprint(i)
		require.NotEqual(t, id.Upstream("u0"), assign.Choose(engines(3), work, slow, nil).ID)
		require.NotEqual(t, id.Upstream("u0"), assign.Choose(engines(3), assign.Work{Line: work.Line}, failing, nil).ID)
	}
}

func TestEqualUpstreamsShareLines(t *testing.T) {
	counts := map[id.Upstream]int{}
	for i := range 3000 {
		counts[assign.Choose(engines(3), assign.Work{Line: fmt.Sprint(i)}, conditions(nil, false), nil).ID]++
	}
	for _, count := range counts {
		require.InDelta(t, 1000, count, 120)
	}
}

func TestExcludedUpstreamsAreLeftOut(t *testing.T) {
	excluded := map[id.Upstream]struct{}{"u0": {}, "u1": {}}
	require.Equal(t, id.Upstream("u2"), assign.Choose(engines(3), turn("u1"), conditions(nil, true), excluded).ID)
	excluded["u2"] = struct{}{}
	require.Nil(t, assign.Choose(engines(3), turn("u1"), conditions(nil, true), excluded))
}

func benchmarkChoose(b *testing.B, n int) {
	list := engines(n)
	work, condition := turn("u1"), conditions(map[id.Upstream]int{"u1": 5}, true)
	b.ReportAllocs()
	for b.Loop() {
		assign.Choose(list, work, condition, nil)
	}
}

func BenchmarkChoose44(b *testing.B)    { benchmarkChoose(b, 44) }
func BenchmarkChoose10000(b *testing.B) { benchmarkChoose(b, 10_000) }
