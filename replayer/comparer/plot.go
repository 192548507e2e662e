package comparer

import (
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotted is the scenario that is drawn.
const plotted = "data centre cut"

// draw draws the tokens a second of one scenario over time, a line for each way.
func draw(path string, all []Measures) error {
	p := plot.New()
	p.Title.Text = plotted + " at 30 s"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "tokens a second"
	p.Y.Min = 0
	p.Legend.Top = false
	for i, m := range all {
		if m.Scenario != plotted {
			continue
		}
		l, err := plotter.NewLine(points(m.Made))
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		l.Color = plotutil.Color(i)
		l.Dashes = plotutil.Dashes(i)
		p.Add(l)
		p.Legend.Add(m.Way, l)
	}
	return errors.Wrap(p.Save(9*vg.Inch, 5*vg.Inch, path), "save plot")
}

// points averages the tokens made over each second.
func points(made []float64) plotter.XYs {
	var out plotter.XYs
	for at := time.Duration(0); at+window <= length; at += window / 2 {
		out = append(out, plotter.XY{
			X: (at + window/2).Seconds(),
			Y: rate(made, at, at+window),
		})
	}
	return out
}
