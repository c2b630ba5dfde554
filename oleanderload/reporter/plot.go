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

// FirstCurve returns the quantiles of the time to the first token.
func (r *Report) FirstCurve(name string) Curve { return quantileCurve(name, r.first) }

// BetweenCurve returns the quantiles of the time between tokens.
func (r *Report) BetweenCurve(name string) Curve { return quantileCurve(name, r.between) }

// SeriesCurve returns the rate of tokens over time.
func (r *Report) SeriesCurve(name string) Curve {
	c := Curve{Name: name}
	for i, v := range r.Series {
		c.Points = append(c.Points, Point{X: float64(i) * bucket.Seconds(), Y: v})
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

// Plot writes curves as a PNG file.
func Plot(path, title, x, y string, curves ...Curve) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
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
