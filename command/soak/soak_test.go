package soak_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/command/cmdutil"
	"cardamomward/command/root"
	"cardamomward/command/soak"
)

// mainEnvVar makes the test binary run as the command itself, so that the soak starts it as its hosts.
const mainEnvVar = "CARDAMOMWARD_SOAK_TEST_MAIN"

// exitEnvVar makes the first host of the test end by itself, a deliberate defect.
const exitEnvVar = "CARDAMOMWARD_SOAK_TEST_EXIT"

func TestMain(m *testing.M) {
	if os.Getenv(mainEnvVar) != "" {
		if settings := os.Args[len(os.Args)-1]; os.Getenv(exitEnvVar) != "" && filepath.Base(settings) == "host-0.json" {
			go exitOnceAllHostsServe(filepath.Join(filepath.Dir(settings), "events.log"))
		}
		os.Exit(root.Main(cmdutil.NewFactory(), os.Args))
	}
	os.Exit(m.Run())
}

// exitOnceAllHostsServe ends the process once the log of events says that all hosts serve.
func exitOnceAllHostsServe(events string) {
	for {
		if text, _ := os.ReadFile(events); bytes.Contains(text, []byte("all hosts serve")) {
			os.Exit(3)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// shortSoakTimeout bounds the short soak; it only stops a soak that hangs.
const shortSoakTimeout = 110 * time.Second

// Guards against all violations that test/soak/check finds. The short plan has a fault of each kind of process signal, of the store, of
// links, of upstreams and of keys. The others reproduce failures of similar systems: a planned stop under load, also with two signals, during
// the start and without the store, that cuts accepted requests; a host that is only silent, for less and for more than each time limit, whose
// requests are started elsewhere or given up; and restarts after which a host uses a withdrawn key or an upstream that had left.
func TestShortSoaksFindNoViolation(t *testing.T) {
	requirePlansPass(t, "testdata/*.txt", 4)
}

// Guards against turns in progress that end without being retained because all hosts are stopped at once.
func TestSoakWithStopOfAllHostsFindsNoViolation(t *testing.T) {
	requirePlansPass(t, "testdata/all-hosts/*.txt", 1)
}

// requirePlansPass runs a number of plans and requires that none finds a violation.
func requirePlansPass(t *testing.T, pattern string, count int) {
	t.Helper()
	if testing.Short() {
		t.Skip("each soak takes about half a minute")
	}
	t.Setenv(mainEnvVar, "1")
	plans, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.Len(t, plans, count)
	var out bytes.Buffer
	keep, err := os.MkdirTemp("", "soak-test-") // The logs of a failure outlive the test.
	require.NoError(t, err)
	t.Cleanup(func() {
		if !t.Failed() {
			os.RemoveAll(keep) //nolint:errcheck // only the system's temporary files grow
		}
	})
	args := []string{"--jobs", "2", "--keep", keep}
	for _, name := range plans {
		args = append(args, "--plan", name)
	}
	ctx, cancel := context.WithTimeout(t.Context(), shortSoakTimeout)
	defer cancel()
	err = run(ctx, &out, args...)
	require.NoError(t, err, out.String())
	require.Contains(t, out.String(), fmt.Sprintf("%d of %d runs passed", count, count))
}

// run runs the command with arguments.
func run(ctx context.Context, out *bytes.Buffer, args ...string) error {
	factory := cmdutil.NewFactory()
	factory.IOStreams.Out = out

	return root.NewCmdRoot(factory).Run(ctx, append([]string{"cardamomward", "soak"}, args...))
}

// Guards against a command of whose mistakes only the first is named.
func TestAllInvalidArgumentsAreReportedTogether(t *testing.T) {
	var out bytes.Buffer
	err := run(t.Context(), &out, "--seeds", "0", "--hosts", "99", "--for", "1s", "--jobs", "0", "--faults", "burn,kill", "--plan", "missing.txt")
	var usage *cmdutil.UsageError
	require.True(t, errors.As(err, &usage))
	for _, flag := range []string{"--seeds", "--hosts", "--for", "--jobs", `"burn"`, "--plan"} {
		require.ErrorContains(t, err, flag)
	}
	require.NotContains(t, err.Error(), `"kill"`)
	require.Equal(t, cmdutil.ExitUsage, cmdutil.ExitCodeFor(err))
}

// Guards against a soak that CI takes for passed although hosts break a promise, and whose plan is not kept: here a host ends by itself.
func TestViolationFailsCommandAndIsKept(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak takes some seconds")
	}
	ctx, cancel := context.WithTimeout(t.Context(), shortSoakTimeout)
	defer cancel()
	t.Setenv(mainEnvVar, "1")
	t.Setenv(exitEnvVar, "1")
	keep := t.TempDir()
	var out bytes.Buffer
	err := run(ctx, &out, "--seed", "7", "--hosts", "2", "--for", "3s", "--faults", "change-keys", "--reduce", "--keep", keep)
	require.ErrorIs(t, err, soak.ErrViolations, out.String())
	require.Equal(t, cmdutil.ExitFailure, cmdutil.ExitCodeFor(err))
	require.Contains(t, out.String(), "no-exit-by-itself: host-0 ended by itself: exit status 3")
	for _, name := range []string{"plan.txt", "report.txt", "history.log", "events.log", "host-0.log"} {
		files, err := filepath.Glob(filepath.Join(keep, "seed-7-*", name))
		require.NoError(t, err)
		require.NotEmpty(t, files, name)
	}
	reduced, err := filepath.Glob(filepath.Join(keep, "seed-7-*", "reduced.txt"))
	require.NoError(t, err)
	require.Len(t, reduced, 1)
	text, err := os.ReadFile(reduced[0])
	require.NoError(t, err)
	require.Equal(t, "plan seed 7 hosts 2 duration 3s\n", string(text), "the process ends without any fault of the plan")
}
