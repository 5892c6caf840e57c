package swreport

import (
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/load/swclient"
)

// Size of a plot's image.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Names of the image files.
const (
	firstTokenFile = "firstToken.png"
	goodputFile    = "goodput.png"
)

// Plot writes two plots of the run into a directory, with one line for each tier: the
// cumulative distribution of the time to the first token, and the rate of answers in
// time over the run.
func Plot(in Input, directory string) error {
	first := plot.New()
	first.Title.Text = "Time to the first token, " + in.Scenario.Name
	first.X.Label.Text = "ms"
	first.Y.Label.Text = "share of the requests"
	if err := addLines(first, in, firstTokenPoints); err != nil {
		return err
	}
	if err := first.Save(plotWidth, plotHeight, filepath.Join(directory, firstTokenFile)); err != nil {
		return errors.Wrap(err, "save plot")
	}
	goodput := plot.New()
	goodput.Title.Text = "Answers in time, " + in.Scenario.Name
	goodput.X.Label.Text = "s since the start, by arrival"
	goodput.Y.Label.Text = "answers a second"
	if err := addLines(goodput, in, goodputPoints); err != nil {
		return err
	}
	return errors.Wrap(goodput.Save(plotWidth, plotHeight, filepath.Join(directory, goodputFile)), "save plot")
}

// addLines adds a line for each tier that has points.
func addLines(p *plot.Plot, in Input, points func(Input, int) plotter.XYs) error {
	for i, name := range in.Scenario.Tiers {
		xys := points(in, i)
		if len(xys) == 0 {
			continue
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return errors.Wrap(err, "draw line")
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return nil
}

func firstTokenPoints(in Input, tier int) plotter.XYs {
	var values []swclient.Micros
	for _, r := range in.Results {
		if in.Scenario.Flows[r.Request.Flow].Tier == tier && r.FirstToken > 0 {
			values = append(values, r.FirstToken)
		}
	}
	slices.Sort(values)
	xys := make(plotter.XYs, len(values))
	for i, v := range values {
		xys[i] = plotter.XY{X: v.Millis(), Y: float64(i+1) / float64(len(values))}
	}
	return xys
}

func goodputPoints(in Input, tier int) plotter.XYs {
	xys := make(plotter.XYs, int(in.Scenario.Duration/swclock.Second)+1)
	for i := range xys {
		xys[i].X = float64(i)
	}
	for _, r := range in.Results {
		if in.Scenario.Flows[r.Request.Flow].Tier == tier && inTime(in.Scenario, r) {
			xys[int(r.Request.At/swclock.Second)].Y++
		}
	}
	return xys
}
