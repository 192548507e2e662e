package comparer

import (
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plottedScenario is the name of the scenario that drawPlot shows.
const plottedScenario = "data centre cut"

// drawPlot saves a plot of plottedScenario to path: tokens per second over time,
// with one line for each strategy.
func drawPlot(path string, all []Measures) error {
	p := plot.New()
	p.Title.Text = plottedScenario + " at 30 s"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "tokens a second"
	p.Y.Min = 0
	p.Legend.Top = false
	for i, m := range all {
		if m.Scenario != plottedScenario {
			continue
		}
		l, err := plotter.NewLine(ratePoints(m.TokensPerBucket))
		if err != nil {
			return errors.Wrap(err, "create plot line")
		}
		l.Color = plotutil.Color(i)
		l.Dashes = plotutil.Dashes(i)
		p.Add(l)
		p.Legend.Add(m.Strategy, l)
	}
	return errors.Wrap(p.Save(9*vg.Inch, 5*vg.Inch, path), "save plot")
}

// ratePoints returns the mean token rate over windows of one second that start
// every half second.
func ratePoints(buckets []float64) plotter.XYs {
	var out plotter.XYs
	for start := time.Duration(0); start+rateWindow <= duration; start += rateWindow / 2 {
		out = append(out, plotter.XY{
			X: (start + rateWindow/2).Seconds(),
			Y: rate(buckets, start, start+rateWindow),
		})
	}
	return out
}
