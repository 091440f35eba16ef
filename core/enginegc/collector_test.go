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

// TestOnlyClosedProgramsAreReleased plays a host whose fold lags behind the log, by up to the grace
// period, while programs open, run on the engine and end.
func TestOnlyClosedProgramsAreReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 40
		step := 2 * time.Second
		start := time.Unix(1000, 0)
		opened := make(map[id.Program]time.Time)
		ended := make(map[id.Program]time.Time)
		held := make(map[id.Program]bool)
		var ledger enginegc.Collector
		names := []id.Program{"a", "b", "c", "d", "e"}
		last := start
		for n := range steps {
			now := start.Add(time.Duration(n) * step)
			for _, program := range names {
				_, isOpen := opened[program]
				_, isEnded := ended[program]
				switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
				case event == 0 && !isOpen:
					opened[program] = now
					held[program] = true
				case event == 1 && isOpen && !isEnded:
					ended[program] = now
				}
			}
			// The fold contains all records up to a moment within the grace period before the last hearing.
			lag := time.Duration(rapid.IntRange(0, int(enginegc.GracePeriod/time.Millisecond)-1).Draw(t, "lag")) * time.Millisecond
			if rapid.Bool().Draw(t, "heard") {
				last = now
			}
			horizon := last.Add(-lag)
			live := func(program id.Program) bool {
				from, isOpen := opened[program]
				until, isEnded := ended[program]

				return isOpen && !from.After(horizon) && (!isEnded || until.After(horizon))
			}
			for _, program := range ledger.ProgramsToRelease(now, enginegc.Listing{EngineRun: "1", Programs: keys(held), LogReadAt: last, IsOpen: live}) {
				require.Contains(t, ended, program, "a live program is never released")
				delete(held, program)
			}
		}
		// With a fold that is heard of again, all that is gone is released within the bound.
		for n := range 4 {
			now := start.Add(steps*step + time.Duration(n)*step)
			live := func(program id.Program) bool { _, isEnded := ended[program]; return !isEnded }
			for _, program := range ledger.ProgramsToRelease(now, enginegc.Listing{EngineRun: "1", Programs: keys(held), LogReadAt: now, IsOpen: live}) {
				delete(held, program)
			}
		}
		for program := range held {
			require.NotContains(t, ended, program, "the memory of gone programs is released")
		}
	})
}

func keys(held map[id.Program]bool) []id.Program {
	var programs []id.Program
	for program := range held {
		programs = append(programs, program)
	}
	slices.Sort(programs)

	return programs
}

func TestEngineRestartResetsState(t *testing.T) {
	var ledger enginegc.Collector
	gone := func(id.Program) bool { return false }
	now := time.Unix(1000, 0)
	held := []id.Program{"a"}
	require.Empty(t, ledger.ProgramsToRelease(now, enginegc.Listing{EngineRun: "1", Programs: held, LogReadAt: now, IsOpen: gone}))
	now = now.Add(enginegc.GracePeriod)
	require.Empty(t, ledger.ProgramsToRelease(now, enginegc.Listing{EngineRun: "2", Programs: held, LogReadAt: now, IsOpen: gone}))
	now = now.Add(enginegc.GracePeriod)
	require.Equal(t, held, ledger.ProgramsToRelease(now, enginegc.Listing{EngineRun: "2", Programs: held, LogReadAt: now, IsOpen: gone}))
}
