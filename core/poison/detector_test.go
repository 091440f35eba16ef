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
			"in company, then alone",
			[]poison.CrashReport{{Request: 1, Process: "a/1"}, {Request: 2, Process: "a/1"}, {Request: 1, Process: "b/1", Alone: true}},
			poison.Confirmed,
		},
		{
			"twice in company",
			[]poison.CrashReport{{Request: 1, Process: "a/1"}, {Request: 1, Process: "b/1"}},
			poison.Suspect,
		},
		{
			"alone at its own host, but another host names a request too",
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
			var book poison.Detector
			for _, crash := range test.crashes {
				book.RecordCrash(crash)
			}
			require.Equal(t, test.want, book.Status(1))
			book.Clear(1)
			require.Equal(t, poison.Clean, book.Status(1))
		})
	}
}

// TestOnlyPoisonRequestsAreConfirmed runs random batches on engines of which each crashes when a killer runs
// there. Suspects run alone, as the owner runs them; several killers may be about, and each request comes at random.
func TestOnlyPoisonRequestsAreConfirmed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var book poison.Detector
		killers := rapid.IntRange(1, 3).Draw(t, "killers")
		requests := rapid.IntRange(killers, 20).Draw(t, "requests")
		deadly := func(r id.Fingerprint) bool { return int(r) < killers }
		crashes := make(map[id.Fingerprint]int)
		runs := 0
		for range rapid.IntRange(1, 60).Draw(t, "batches") {
			var batch []id.Fingerprint
			for _, r := range rapid.SliceOfNDistinct(rapid.IntRange(0, requests-1), 1, requests, rapid.ID[int]).Draw(t, "batch") {
				request := id.Fingerprint(r)
				switch book.Status(request) {
				case poison.Confirmed:
				case poison.Suspect:
					runs++
					crashes[request] += run(&book, fmt.Sprint(runs), []id.Fingerprint{request}, deadly, true)
				case poison.Clean:
					batch = append(batch, request)
				}
			}
			runs++
			if run(&book, fmt.Sprint(runs), batch, deadly, false) > 0 {
				for _, request := range batch {
					crashes[request]++
				}
			}
		}
		for r := range requests {
			request := id.Fingerprint(r)
			convicted := book.Status(request) == poison.Confirmed
			switch {
			case !deadly(request):
				require.False(t, convicted, "innocent %d", r)
			case crashes[request] >= 2:
				require.True(t, convicted, "killer %d", r)
			}
			if deadly(request) {
				require.LessOrEqual(t, crashes[request], 2, "killer %d", r)
			}
		}
	})
}

// run plays a process that runs a batch, and returns how often it crashed.
func run(
	book *poison.Detector, process string, batch []id.Fingerprint, deadly func(id.Fingerprint) bool, alone bool,
) int {
	crashed := false
	for _, request := range batch {
		crashed = crashed || deadly(request)
	}
	for _, request := range batch {
		if crashed {
			book.RecordCrash(poison.CrashReport{Request: request, Process: process, Alone: alone})
		} else {
			book.Clear(request)
		}
	}
	if crashed {
		return 1
	}

	return 0
}
