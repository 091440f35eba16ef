package poison_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/id"
	"cardamomward/core/poison"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestStatus(t *testing.T) {
	tests := []struct {
		name    string
		crashes []poison.CrashReport
		want    poison.Status
	}{
		{"none", nil, poison.Clean},
		{"one", []poison.CrashReport{{Request: 1, Process: "a/1", Alone: true}}, poison.Suspect},
		{
			"the same process twice",
			[]poison.CrashReport{{Request: 1, Process: "a/1", Alone: true}, {Request: 1, Process: "a/1", Alone: true}},
			poison.Suspect,
		},
		{
			"beside another request, then alone",
			[]poison.CrashReport{{Request: 1, Process: "a/1"}, {Request: 2, Process: "a/1"}, {Request: 1, Process: "b/1", Alone: true}},
			poison.Confirmed,
		},
		{
			"twice, but never alone",
			[]poison.CrashReport{{Request: 1, Process: "a/1"}, {Request: 1, Process: "b/1"}},
			poison.Suspect,
		},
		{
			"alone on its host, but another host reports a request too",
			[]poison.CrashReport{
				{Request: 1, Process: "a/1"},
				{Request: 1, Process: "b/1", Alone: true},
				{Request: 2, Process: "b/1", Alone: true},
			},
			poison.Suspect,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var detector poison.Detector
			for _, crash := range test.crashes {
				detector.RecordCrash(crash)
			}
			require.Equal(t, test.want, detector.Status(1))
			detector.Clear(1)
			require.Equal(t, poison.Clean, detector.Status(1))
		})
	}
}

// TestOnlyPoisonRequestsAreConfirmed runs random batches of requests, one to three of them poison, on engines that crash
// when a poison request runs there. Suspects run in isolation, as the owner runs them.
func TestOnlyPoisonRequestsAreConfirmed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var detector poison.Detector
		poisonCount := rapid.IntRange(1, 3).Draw(t, "poison requests")
		requests := rapid.IntRange(poisonCount, 20).Draw(t, "requests")
		isPoison := func(r id.Fingerprint) bool { return int(r) < poisonCount }
		crashCounts := make(map[id.Fingerprint]int)
		runs := 0
		for range rapid.IntRange(1, 60).Draw(t, "batches") {
			var batch []id.Fingerprint
			for _, r := range rapid.SliceOfNDistinct(rapid.IntRange(0, requests-1), 1, requests, rapid.ID[int]).Draw(t, "batch") {
				request := id.Fingerprint(r)
				switch detector.Status(request) {
				case poison.Confirmed:
				case poison.Suspect:
					runs++
					crashCounts[request] += runBatch(&detector, fmt.Sprint(runs), []id.Fingerprint{request}, isPoison, true)
				case poison.Clean:
					batch = append(batch, request)
				}
			}
			runs++
			if runBatch(&detector, fmt.Sprint(runs), batch, isPoison, false) > 0 {
				for _, request := range batch {
					crashCounts[request]++
				}
			}
		}
		for r := range requests {
			request := id.Fingerprint(r)
			confirmed := detector.Status(request) == poison.Confirmed
			switch {
			case !isPoison(request):
				require.False(t, confirmed, "request %d is not poison", r)
			case crashCounts[request] >= 2:
				require.True(t, confirmed, "request %d is poison", r)
			}
			if isPoison(request) {
				require.LessOrEqual(t, crashCounts[request], 2, "request %d is poison", r)
			}
		}
	})
}

// runBatch runs a batch in one process and returns 1 if it crashed, or else 0.
func runBatch(
	detector *poison.Detector, process string, batch []id.Fingerprint, isPoison func(id.Fingerprint) bool, alone bool,
) int {
	crashed := false
	for _, request := range batch {
		crashed = crashed || isPoison(request)
	}
	for _, request := range batch {
		if crashed {
			detector.RecordCrash(poison.CrashReport{Request: request, Process: process, Alone: alone})
		} else {
			detector.Clear(request)
		}
	}
	if crashed {
		return 1
	}

	return 0
}
