package reporter

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Curve is one line of a plot.
type Curve struct {
	Name   string
	Points []Point
}

// Point is a point of a curve.
type Point struct{ X, Y float64 }

// FirstTokenCurve returns the time to the first token in milliseconds by quantile in per
// cent.
func (r *Report) FirstTokenCurve(name string) Curve { return quantileCurve(name, r.firstHistogram) }

// TokenIntervalCurve returns the time between tokens in milliseconds by quantile in per
// cent.
func (r *Report) TokenIntervalCurve(name string) Curve {
	return quantileCurve(name, r.betweenHistogram)
}

// ThroughputCurve returns the throughput in tokens per second by time in seconds.
func (r *Report) ThroughputCurve(name string) Curve {
	c := Curve{Name: name}
	for i, v := range r.Series {
		c.Points = append(c.Points, Point{X: float64(i) * seriesInterval.Seconds(), Y: v})
	}
	return c
}

func quantileCurve(name string, h *hdrhistogram.Histogram) Curve {
	c := Curve{Name: name}
	for q := 1.0; q < 100; q++ {
		c.Points = append(c.Points, Point{X: q, Y: float64(h.ValueAtQuantile(q)) / 1000})
	}
	return c
}

// Plot writes curves to the file at path, whose extension selects the image format. Curves
// without points are left out.
func Plot(path, title, xLabel, yLabel string, curves ...Curve) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, xLabel, yLabel
	p.Y.Min = 0
	var lines []any
	for _, c := range curves {
		if len(c.Points) == 0 {
			continue
		}
		xy := make(plotter.XYs, len(c.Points))
		for i, v := range c.Points {
			xy[i] = plotter.XY{X: v.X, Y: v.Y}
		}
		lines = append(lines, c.Name, xy)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
