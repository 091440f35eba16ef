package retrypolicy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/retrypolicy"
)

func TestShouldRetry(t *testing.T) {
	nonRepeatable := retrypolicy.Policy{MaxAttempts: 3}
	repeatable := retrypolicy.Policy{AllowReexecution: true, MaxAttempts: 2}
	for _, tt := range []struct {
		name          string
		policy        retrypolicy.Policy
		outcomes      []retrypolicy.Outcome
		upstreamEnded bool
		remaining     time.Duration
		want          bool
	}{
		{"not repeatable after a lost answer", nonRepeatable, []retrypolicy.Outcome{retrypolicy.Lost}, false, time.Second, false},
		{"not repeatable after a lost answer of an upstream that has ended", nonRepeatable, []retrypolicy.Outcome{retrypolicy.Lost}, true, time.Second, false},
		{"not repeatable that did not run", nonRepeatable, []retrypolicy.Outcome{retrypolicy.NotExecuted}, false, time.Second, true},
		{"not repeatable that was not sent", nonRepeatable, []retrypolicy.Outcome{retrypolicy.NotSent}, false, time.Second, true},
		{"repeatable after a lost answer", repeatable, []retrypolicy.Outcome{retrypolicy.Lost}, false, time.Second, true},
		{"repeatable after the last attempt", repeatable, []retrypolicy.Outcome{retrypolicy.Lost, retrypolicy.Lost}, false, time.Second, false},
		{"repeatable after the last attempt at an upstream that has ended", repeatable, []retrypolicy.Outcome{retrypolicy.Lost, retrypolicy.Lost}, true, time.Second, true},
		{"too little time left", repeatable, []retrypolicy.Outcome{retrypolicy.NotExecuted}, false, time.Millisecond, false},
		{"answered", repeatable, []retrypolicy.Outcome{retrypolicy.Answered}, false, time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var attempts retrypolicy.Attempts
			for _, outcome := range tt.outcomes {
				attempts.Record(outcome)
			}
			last := tt.outcomes[len(tt.outcomes)-1]
			require.Equal(t, tt.want, attempts.ShouldRetry(tt.policy, last, tt.upstreamEnded, tt.remaining))
		})
	}
}

func TestShouldRetryLimitsUnexecutedAttempts(t *testing.T) {
	var attempts retrypolicy.Attempts
	sends := 0
	for policy := (retrypolicy.Policy{MaxAttempts: 1}); ; sends++ {
		attempts.Record(retrypolicy.NotExecuted)
		if !attempts.ShouldRetry(policy, retrypolicy.NotExecuted, false, time.Second) {
			break
		}
	}
	require.Less(t, sends, 10)
}
