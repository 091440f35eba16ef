package plan_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/test/soak/plan"
)

// hasFaults reports whether a plan has faults that begin at all of the given times.
func hasFaults(p plan.Plan, times ...time.Duration) bool {
	for _, at := range times {
		if !slices.ContainsFunc(p.Faults, func(f plan.Fault) bool { return f.At == at }) {
			return false
		}
	}

	return true
}

// Guards against a reduction that keeps faults without effect, or drops one that the failure needs.
func TestPlanIsReducedToFaultsThatFailTogether(t *testing.T) {
	p := plan.Generate(1, options)
	first, second := p.Faults[2].At, p.Faults[len(p.Faults)-1].At
	reduced, err := plan.Reduce(p, 1000, func(p plan.Plan) (bool, error) { return hasFaults(p, first, second), nil })
	require.NoError(t, err)
	require.Equal(t, []plan.Fault{p.Faults[2], p.Faults[len(p.Faults)-1]}, reduced.Faults)
}

// Guards against dropping a fault only once: here the last one can be dropped after the first.
func TestFaultsAreTriedAgainAfterOthersWereDropped(t *testing.T) {
	p := plan.Generate(1, options)
	first, last := p.Faults[0].At, p.Faults[len(p.Faults)-1].At
	reduced, err := plan.Reduce(p, 1000, func(p plan.Plan) (bool, error) { return !hasFaults(p, first) || hasFaults(p, last), nil })
	require.NoError(t, err)
	require.Empty(t, reduced.Faults)
}

// Guards against a reduction without end, and one that goes on after a run that could not be made.
func TestReductionIsBounded(t *testing.T) {
	p := plan.Generate(1, options)
	runs := 0
	reduced, err := plan.Reduce(p, 3, func(plan.Plan) (bool, error) { runs++; return true, nil })
	require.NoError(t, err)
	require.Equal(t, 3, runs)
	require.Len(t, reduced.Faults, len(p.Faults)-3)

	failure := errors.New("no run")
	reduced, err = plan.Reduce(p, 3, func(plan.Plan) (bool, error) { return false, failure })
	require.ErrorIs(t, err, failure)
	require.Equal(t, p, reduced)
}
