package stall_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/stall"
)

func TestStatusAfterPause(t *testing.T) {
	start := time.Unix(1000, 0)
	limits := stall.TimeoutsFor(time.Second, 500*time.Millisecond, true)
	tests := []struct {
		name       string
		keepalives []time.Duration
		tokens     []time.Duration
		at         time.Duration
		want       stall.Status
	}{
		{"just started", nil, nil, 0, stall.Healthy},
		{"silent from the start", nil, nil, time.Second, stall.Silent},
		{"keepalive while it waits", []time.Duration{900 * time.Millisecond}, nil, 1800 * time.Millisecond, stall.Healthy},
		{"keepalives but no first token", []time.Duration{9900 * time.Millisecond}, nil, 10 * time.Second, stall.Stalled},
		{"silent after a token", nil, []time.Duration{time.Second}, 2 * time.Second, stall.Silent},
		{
			"keepalives but no next token",
			[]time.Duration{3900 * time.Millisecond},
			[]time.Duration{time.Second},
			4 * time.Second, stall.Stalled,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			detector := stall.New(limits, start, false)
			for _, at := range test.tokens {
				detector.RecordToken(start.Add(at))
			}
			for _, at := range test.keepalives {
				detector.RecordKeepalive(start.Add(at))
			}
			status, _ := detector.Check(start.Add(test.at))
			require.Equal(t, test.want, status)
		})
	}
}

func TestEngineWithoutKeepalivesMayBeSilentDuringPrefill(t *testing.T) {
	start := time.Unix(1000, 0)
	detector := stall.New(stall.TimeoutsFor(time.Second, 10*time.Second, false), start, false)
	status, next := detector.Check(start.Add(40 * time.Second))
	require.Equal(t, stall.Healthy, status)
	require.Equal(t, 8*time.Second, next)
	detector.RecordToken(start.Add(40 * time.Second))
	status, _ = detector.Check(start.Add(41 * time.Second))
	require.Equal(t, stall.Stalled, status)
}
