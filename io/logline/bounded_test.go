package logline_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/io/logline"
)

// stuck blocks its first write until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release

	return s.Buffer.Write(p)
}

func TestBoundedWritesLinesInOrder(t *testing.T) {
	var out bytes.Buffer
	b := logline.NewBounded(&out)
	for i := range 100 {
		fmt.Fprintf(b, "line %d\n", i)
	}
	require.NoError(t, b.Close())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 100)
	require.Equal(t, "line 99", lines[99])
	require.Zero(t, b.Dropped())
}

func TestBoundedNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	b := logline.NewBounded(out)
	for i := range 20_000 {
		fmt.Fprintf(b, "line %d\n", i)
	}
	require.Positive(t, b.Dropped())
	close(out.release)
	require.NoError(t, b.Close())
	require.Contains(t, out.String(), "event=lines-dropped")
}
