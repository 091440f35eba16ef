package replay_test

import (
	"flag"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cardamomward/core/replay"
)

var plots = flag.String("plots", "", "write the plots of docs/MEASURES.md to this directory")

// draw writes lines by policy to an SVG file.
func draw(t *testing.T, name, title, x, y string, lines map[replay.Policy]plotter.XYs) {
	t.Helper()
	const width, height = 16 * vg.Centimeter, 9 * vg.Centimeter
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	var args []any
	for _, policy := range replay.Policies() {
		args = append(args, string(policy), lines[policy])
	}
	require.NoError(t, plotutil.AddLines(p, args...))
	require.NoError(t, p.Save(width, height, filepath.Join(*plots, name)))
}

func TestPlots(t *testing.T) {
	if *plots == "" {
		t.Skip("writes the plots of docs/MEASURES.md with -plots DIRECTORY")
	}
	quantiles := make(map[replay.Policy]plotter.XYs)
	for policy, r := range surge() {
		for percent := 1; percent < 100; percent++ {
			latency := r.Latency(float64(percent) / 100).Seconds()
			quantiles[policy] = append(quantiles[policy], plotter.XY{X: float64(percent), Y: latency})
		}
	}
	draw(t, "surge-latency.svg", "Lunch-hour surge, Authority", "programs that took at most, %", "seconds", quantiles)

	loads := []float64{0.5, 0.7, 0.9, 1.0, 1.1, 1.2, 1.3}
	var scenarios []replay.Scenario
	for _, load := range loads {
		s := scenario(t, "one workspace at six times its rate")
		s.Base, s.Surge = load, load
		for i := range s.Tenants {
			s.Tenants[i].Flood = 0
		}
		scenarios = append(scenarios, s)
	}
	slowdowns := make(map[replay.Policy]plotter.XYs)
	for i, results := range runAll(scenarios, replay.Policies()) {
		for policy, r := range results {
			worst, _ := r.Fairness()
			slowdowns[policy] = append(slowdowns[policy], plotter.XY{X: loads[i], Y: worst})
		}
	}
	draw(t, "worst-served.svg", "Worst-served workspace, Nyabugogo", "load with a perfect cache, parts of capacity",
		"slowdown against running alone", slowdowns)
}
