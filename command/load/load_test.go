package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/command/cmdutil"
	"cardamomward/command/demo"
	"cardamomward/command/load"
)

func newFactory() (*cmdutil.Factory, *bytes.Buffer) {
	var out, progress bytes.Buffer
	f := cmdutil.NewFactory()
	f.IOStreams = cmdutil.IOStreams{Out: &out, Err: &progress}

	return f, &out
}

func TestInvalidOptionsAreUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{"load", "--operator", "127.0.0.1:1", "--arrivals", "sometimes"},
		{"load", "--operator", "127.0.0.1:1", "--rate", "0"},
		{"load", "--operator", "127.0.0.1:1", "--pace", "-1"},
	} {
		f, _ := newFactory()
		err := load.NewCmdLoad(f, nil).Run(t.Context(), args)
		require.Equal(t, cmdutil.ExitUsage, cmdutil.ExitCodeFor(err), args)
	}
}

func TestLoadReportsProgramsAndWithdrawsKeys(t *testing.T) {
	f, out := newFactory()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet, err := demo.StartFleet(ctx, &demo.DemoOptions{Factory: f, Verbosity: -1})
	require.NoError(t, err)
	defer fleet.Stop()
	err = load.NewCmdLoad(f, nil).Run(ctx, []string{
		"load", "--operator", fleet.Hosts[0].HostEntry().OperatorAddress, "--arrivals", "flood",
		"--rate", "5", "--duration", "2s", "--size", "0.01", "--pace", "0.001", "--json",
	})
	require.NoError(t, err)
	var report load.Report
	require.NoError(t, json.Unmarshal(out.Bytes(), &report), out.String())
	require.Positive(t, report.Started)
	require.Equal(t, report.Started, report.Finished+report.OverBudget, report.Errors)
	require.Positive(t, report.Latency.P99)
	require.NotEmpty(t, report.Workspaces)
	keys, err := fleet.OperatorClient(0).ListKeys(ctx)
	require.NoError(t, err)
	for _, key := range keys.Keys {
		require.True(t, key.Withdrawn, key.Key)
	}
}
