package plan_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/test/soak/plan"
)

var options = plan.Options{Hosts: 5, Duration: 30 * time.Second}

// Guards against failures that cannot be repeated from their seed.
func TestSameSeedGivesSamePlan(t *testing.T) {
	for seed := range plan.Seed(100) {
		require.Equal(t, plan.Generate(seed, options), plan.Generate(seed, options))
	}
	require.NotEqual(t, plan.Generate(1, options).Faults, plan.Generate(2, options).Faults)
}

// Guards against a kept plan that runs differently when it is read again.
func TestPrintedPlanIsParsedAgain(t *testing.T) {
	for seed := range plan.Seed(100) {
		p := plan.Generate(seed, options)
		parsed, err := plan.Parse(p.String())
		require.NoError(t, err)
		require.Equal(t, p, parsed)
	}
}

// Guards against a reduction that changes the plan it began with, or drops another fault.
func TestFaultCanBeDropped(t *testing.T) {
	p := plan.Generate(1, options)
	require.Greater(t, len(p.Faults), 2)
	before := p.String()
	shorter := p.Without(1)
	require.Equal(t, before, p.String())
	require.Equal(t, append(p.Faults[:1:1], p.Faults[2:]...), shorter.Faults)
}

// Guards against a kind of fault, or a group of hosts, that is never drawn.
func TestAllKindsAndTargetsAreDrawn(t *testing.T) {
	drawnKinds := make(map[plan.Kind]bool)
	drawnTargets := make(map[plan.Target]bool)
	for seed := range plan.Seed(300) {
		p := plan.Generate(seed, options)
		for _, f := range p.Faults {
			drawnKinds[f.Kind] = true
			drawnTargets[f.Target] = true
			require.GreaterOrEqual(t, f.At, time.Second)
			require.Less(t, f.At, options.Duration)
		}
	}
	for _, kind := range plan.Kinds() {
		require.True(t, drawnKinds[kind], "kind %s", kind)
	}
	for _, target := range []plan.Target{plan.All, plan.InTurn, "host-0", "host-4", "engine-3", "desk-1", "store/host-1", "callers/host-2", "upstream/desk-0"} {
		require.True(t, drawnTargets[target], "target %s", target)
	}
}

// Guards against plans with kinds that were not asked for.
func TestOnlyChosenKindsAreDrawn(t *testing.T) {
	p := plan.Generate(3, plan.Options{Hosts: 3, Duration: 20 * time.Second, Kinds: []plan.Kind{plan.Pause}})
	require.NotEmpty(t, p.Faults)
	for _, f := range p.Faults {
		require.Equal(t, plan.Pause, f.Kind)
	}
}

// Guards against a plan file of which only the first mistake is named.
func TestAllMistakesOfPlanAreNamed(t *testing.T) {
	_, err := plan.Parse("plan seed 1 hosts 2 duration 3s\nfault at 1s for x kind kill target host-0\nfault at 1s for 1s kind burn target none\n")
	require.ErrorContains(t, err, "line 2")
	require.ErrorContains(t, err, "line 3")
	_, err = plan.Parse("")
	require.ErrorContains(t, err, "empty")
}
