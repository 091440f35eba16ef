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

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release

	return s.Buffer.Write(p)
}

func TestAsyncWriterWritesLinesInOrder(t *testing.T) {
	var out bytes.Buffer
	b := logfmt.NewAsyncWriter(&out)
	for i := range 100 {
		fmt.Fprintf(b, "line %d\n", i)
	}
	require.NoError(t, b.Close())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 100)
	require.Equal(t, "line 99", lines[99])
	require.Zero(t, b.DroppedLines())
}

func TestAsyncWriterCountsDroppedLinesWithoutBlocking(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := logfmt.NewAsyncWriter(out)
	for i := range 20_000 {
		fmt.Fprintf(b, "line %d\n", i)
	}
	require.Positive(t, b.DroppedLines())
	close(out.release)
	require.NoError(t, b.Close())
	require.Contains(t, out.String(), "event=lines-dropped")
}
