package explain_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/command/cmdutil"
	"cardamomward/command/explain"
)

func runExplain(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	f := &cmdutil.Factory{IOStreams: cmdutil.IOStreams{Out: &out}}
	err := explain.NewCmdExplain(f, nil).Run(context.Background(), append([]string{"explain"}, args...))

	return out.String(), err
}

func TestExplainPrintsLinesOfRequest(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "host-1.log")
	text := "time=2026-04-02T07:27:17.882Z level=info event=request request=r1 status=503 outcome=owner-unsure took=1ms\nother\n"
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	out, err := runExplain(t, "r1", file)
	require.NoError(t, err)
	require.Equal(t, "host-1  time=2026-04-02T07:27:17.882Z level=info event=request request=r1 status=503 outcome=owner-unsure took=1ms\n", out)
	for _, args := range [][]string{{"r9", file}, {"r1"}, {}, {"r1", filepath.Join(dir, "missing.log")}} {
		_, err := runExplain(t, args...)
		require.Equal(t, cmdutil.ExitUsage, cmdutil.ExitCodeFor(err), args)
	}
}
