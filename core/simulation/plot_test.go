package simulation_test

import (
	"flag"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cardamomward/core/simulation"
)

var plotsFlag = flag.String("plots", "", "write the plots of docs/MEASURES.md to this directory")

// writePlot writes one line per policy to an SVG file.
func writePlot(t *testing.T, name, title, x, y string, lines map[simulation.Policy]plotter.XYs) {
	t.Helper()
	const width, height = 16 * vg.Centimeter, 9 * vg.Centimeter
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	var args []any
	for _, policy := range simulation.Policies() {
		args = append(args, string(policy), lines[policy])
	}
	require.NoError(t, plotutil.AddLines(p, args...))
	require.NoError(t, p.Save(width, height, filepath.Join(*plotsFlag, name)))
}

func TestPlots(t *testing.T) {
	if *plotsFlag == "" {
		t.Skip("writes the plots of docs/MEASURES.md with -plots DIRECTORY")
	}
	quantiles := make(map[simulation.Policy]plotter.XYs)
	for policy, r := range surgeResults() {
		for percent := 1; percent < 100; percent++ {
			latency := r.ProgramLatency(float64(percent) / 100).Seconds()
			quantiles[policy] = append(quantiles[policy], plotter.XY{X: float64(percent), Y: latency})
		}
	}
	writePlot(t, "surge-latency.svg", "Lunch-hour surge, Authority", "programs that took at most, %", "seconds", quantiles)

	loads := []float64{0.5, 0.7, 0.9, 1.0, 1.1, 1.2, 1.3}
	var scenarios []simulation.Scenario
	for _, load := range loads {
		s := findScenario(t, "one workspace at six times its rate")
		s.BaseLoad, s.SurgeLoad = load, load
		for i := range s.Workspaces {
			s.Workspaces[i].OverloadFactor = 0
		}
		scenarios = append(scenarios, s)
	}
	slowdowns := make(map[simulation.Policy]plotter.XYs)
	for i, results := range runAll(scenarios, simulation.Policies()) {
		for policy, r := range results {
			worst, _ := r.WorstAndMeanSlowdown()
			slowdowns[policy] = append(slowdowns[policy], plotter.XY{X: loads[i], Y: worst})
		}
	}
	writePlot(t, "worst-served.svg", "Worst-served workspace, Nyabugogo", "load with a perfect cache, parts of capacity",
		"slowdown against running alone", slowdowns)
}
