package retrypolicy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/retrypolicy"
)

func TestAgain(t *testing.T) {
	unsafe := retrypolicy.Policy{MaxAttempts: 3}
	safe := retrypolicy.Policy{AllowReexecution: true, MaxAttempts: 2}
	for _, tt := range []struct {
		name     string
		policy   retrypolicy.Policy
		outcomes []retrypolicy.Outcome
		gone     bool
		left     time.Duration
		want     bool
	}{
		{"unsafe after a lost answer", unsafe, []retrypolicy.Outcome{retrypolicy.Lost}, false, time.Second, false},
		{"unsafe after a lost answer of an upstream that ended", unsafe, []retrypolicy.Outcome{retrypolicy.Lost}, true, time.Second, false},
		{"unsafe that did not run", unsafe, []retrypolicy.Outcome{retrypolicy.NotExecuted}, false, time.Second, true},
		{"unsafe that was not sent", unsafe, []retrypolicy.Outcome{retrypolicy.NotSent}, false, time.Second, true},
		{"safe after a lost answer", safe, []retrypolicy.Outcome{retrypolicy.Lost}, false, time.Second, true},
		{"safe after the last attempt", safe, []retrypolicy.Outcome{retrypolicy.Lost, retrypolicy.Lost}, false, time.Second, false},
		{"safe after the last attempt at an upstream that ended", safe, []retrypolicy.Outcome{retrypolicy.Lost, retrypolicy.Lost}, true, time.Second, true},
		{"without time", safe, []retrypolicy.Outcome{retrypolicy.NotExecuted}, false, time.Millisecond, false},
		{"answered", safe, []retrypolicy.Outcome{retrypolicy.Answered}, false, time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var tries retrypolicy.Attempts
			for _, outcome := range tt.outcomes {
				tries.Record(outcome)
			}
			last := tt.outcomes[len(tt.outcomes)-1]
			require.Equal(t, tt.want, tries.ShouldRetry(tt.policy, last, tt.gone, tt.left))
		})
	}
}

func TestRequestsDoNotWanderAmongFullUpstreams(t *testing.T) {
	var tries retrypolicy.Attempts
	sends := 0
	for policy := (retrypolicy.Policy{MaxAttempts: 1}); ; sends++ {
		tries.Record(retrypolicy.NotExecuted)
		if !tries.ShouldRetry(policy, retrypolicy.NotExecuted, false, time.Second) {
			break
		}
	}
	require.Less(t, sends, 10)
}
