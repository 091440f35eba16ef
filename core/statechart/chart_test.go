package statechart_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/statechart"
)

// FuzzLoad checks that Load accepts a file only if all transitions of its chart lead to states of the chart.
func FuzzLoad(f *testing.F) {
	files, err := filepath.Glob("../*/*.yaml")
	require.NoError(f, err)
	require.NotEmpty(f, files)
	for _, file := range files {
		source, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(source)
	}
	f.Add([]byte(""))
	f.Add([]byte("chart: c\ninitial: a\nstates: {a: {go: b}}"))
	f.Add([]byte("chart: c\ninitial: a\nstates: {a: null}"))
	f.Add([]byte("{{{"))
	f.Fuzz(func(t *testing.T, source []byte) {
		c, err := statechart.Load(source)
		if err != nil {
			return
		}
		require.Contains(t, c.States, c.Initial)
		for state, events := range c.States {
			for event := range events {
				next, err := c.Next(state, event)
				require.NoError(t, err)
				require.Contains(t, c.States, next)
			}
			stayed, err := c.Next(state, "an event that no chart has")
			require.Error(t, err)
			require.Equal(t, state, stayed)
		}
	})
}

func TestLoadReportsAllFindings(t *testing.T) {
	_, err := statechart.Load([]byte("chart: c\ninitial: x\nstates: {a: {go: b}, c: {}}"))
	require.ErrorContains(t, err, `initial state "x"`)
	require.ErrorContains(t, err, `leads to "b"`)
	require.ErrorContains(t, err, `state "c" is never reached`)
}
