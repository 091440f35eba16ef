package logfmt_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/io/logfmt"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release

	return w.Buffer.Write(p)
}

func TestAsyncWriterWritesLinesInOrder(t *testing.T) {
	var out bytes.Buffer
	w := logfmt.NewAsyncWriter(&out)
	for i := range 100 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	require.NoError(t, w.Close())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 100)
	require.Equal(t, "line 99", lines[99])
	require.Zero(t, w.DroppedLines())
}

func TestAsyncWriterCountsDroppedLinesWithoutBlocking(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := logfmt.NewAsyncWriter(out)
	for i := range 20_000 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	require.Positive(t, w.DroppedLines())
	close(out.release)
	require.NoError(t, w.Close())
	require.Contains(t, out.String(), "event=lines-dropped")
}
