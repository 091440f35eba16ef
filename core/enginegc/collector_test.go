package enginegc_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/enginegc"
	"cardamomward/core/id"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestOnlyClosedProgramsAreReleased simulates a host that lags behind the log by less than the grace period while
// programs open, run on the engine and end.
func TestOnlyClosedProgramsAreReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 40
		step := 2 * time.Second
		start := time.Unix(1000, 0)
		openedAt := make(map[id.Program]time.Time)
		endedAt := make(map[id.Program]time.Time)
		held := make(map[id.Program]bool)
		var collector enginegc.Collector
		names := []id.Program{"a", "b", "c", "d", "e"}
		lastLogRead := start
		for n := range steps {
			now := start.Add(time.Duration(n) * step)
			for _, program := range names {
				_, isOpen := openedAt[program]
				_, isEnded := endedAt[program]
				switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
				case event == 0 && !isOpen:
					openedAt[program] = now
					held[program] = true
				case event == 1 && isOpen && !isEnded:
					endedAt[program] = now
				}
			}
			// The host has applied all records up to a time within the grace period before it last read the log.
			lag := time.Duration(rapid.IntRange(0, int(enginegc.GracePeriod/time.Millisecond)-1).Draw(t, "lag")) * time.Millisecond
			if rapid.Bool().Draw(t, "read log") {
				lastLogRead = now
			}
			appliedUntil := lastLogRead.Add(-lag)
			openInLog := func(program id.Program) bool {
				from, isOpen := openedAt[program]
				until, isEnded := endedAt[program]

				return isOpen && !from.After(appliedUntil) && (!isEnded || until.After(appliedUntil))
			}
			for _, program := range collector.ProgramsToRelease(now, enginegc.Listing{EngineRun: "1", Programs: sortedPrograms(held), LogReadAt: lastLogRead, IsOpen: openInLog}) {
				require.Contains(t, endedAt, program, "a live program is never released")
				delete(held, program)
			}
		}
		// Once the log is read without lag, all closed programs are released within four listings.
		for n := range 4 {
			now := start.Add(steps*step + time.Duration(n)*step)
			openInLog := func(program id.Program) bool { _, isEnded := endedAt[program]; return !isEnded }
			for _, program := range collector.ProgramsToRelease(now, enginegc.Listing{EngineRun: "1", Programs: sortedPrograms(held), LogReadAt: now, IsOpen: openInLog}) {
				delete(held, program)
			}
		}
		for program := range held {
			require.NotContains(t, endedAt, program, "the memory of ended programs is released")
		}
	})
}

func sortedPrograms(held map[id.Program]bool) []id.Program {
	var programs []id.Program
	for program := range held {
		programs = append(programs, program)
	}
	slices.Sort(programs)

	return programs
}

func TestEngineRestartResetsState(t *testing.T) {
	var collector enginegc.Collector
	noneOpen := func(id.Program) bool { return false }
	now := time.Unix(1000, 0)
	held := []id.Program{"a"}
	require.Empty(t, collector.ProgramsToRelease(now, enginegc.Listing{EngineRun: "1", Programs: held, LogReadAt: now, IsOpen: noneOpen}))
	now = now.Add(enginegc.GracePeriod)
	require.Empty(t, collector.ProgramsToRelease(now, enginegc.Listing{EngineRun: "2", Programs: held, LogReadAt: now, IsOpen: noneOpen}))
	now = now.Add(enginegc.GracePeriod)
	require.Equal(t, held, collector.ProgramsToRelease(now, enginegc.Listing{EngineRun: "2", Programs: held, LogReadAt: now, IsOpen: noneOpen}))
}
