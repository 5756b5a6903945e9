package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// curve is one line of a plot.
type curve struct {
	name  string
	color color.RGBA
	value func(Summary) float64 // NaN or a value that is not positive leaves a gap on a logarithmic axis
}

// Colors that remain distinct for most kinds of color vision (Okabe and Ito).
var (
	blue       = color.RGBA{0, 114, 178, 255}
	green      = color.RGBA{0, 158, 115, 255}
	orange     = color.RGBA{230, 159, 0, 255}
	vermillion = color.RGBA{213, 94, 0, 255}
)

var latencyCurves = []curve{
	{"P50", green, func(s Summary) float64 { return s.LatencyMillis.P50 }},
	{"P90", blue, func(s Summary) float64 { return s.LatencyMillis.P90 }},
	{"P99", orange, func(s Summary) float64 { return s.LatencyMillis.P99 }},
	{"max", vermillion, func(s Summary) float64 { return s.LatencyMillis.Max }},
}

var rateCurves = []curve{
	{"offered", blue, func(s Summary) float64 { return s.OfferedPerSecond }},
	{"good", green, func(s Summary) float64 { return s.GoodPerSecond }},
	{"refused", orange, func(s Summary) float64 { return s.perSecond(s.NotRun) }},
	{"other", vermillion, func(s Summary) float64 { return s.perSecond(s.Offered - s.Complete - s.NotRun) }},
}

// perSecond converts a count into a rate over the time of the summary.
func (s Summary) perSecond(n int64) float64 {
	if s.Offered == 0 {
		return 0
	}
	return float64(n) * s.OfferedPerSecond / float64(s.Offered)
}

func latencyPlot(series []Point) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "Latency of complete answers"
	p.Y.Label.Text = "ms"
	drawn, err := addCurves(p, series, latencyCurves, true)
	if err != nil || !drawn {
		return "", err
	}
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	return render(p)
}

func ratePlot(series []Point) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "Requests"
	p.Y.Label.Text = "1/s"
	p.Y.Min = 0
	if _, err := addCurves(p, series, rateCurves, false); err != nil {
		return "", err
	}
	return render(p)
}

// addCurves reports whether there was anything to draw.
func addCurves(p *plot.Plot, series []Point, curves []curve, positive bool) (bool, error) {
	p.X.Label.Text = "s"
	p.Legend.Top = true
	drawn := false
	for _, c := range curves {
		var xys plotter.XYs
		for _, at := range series {
			if y := c.value(at.Summary); !positive || y > 0 {
				xys = append(xys, plotter.XY{X: at.AtSeconds, Y: y})
			}
		}
		if len(xys) == 0 {
			continue
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return false, fmt.Errorf("plot %s: %w", c.name, err)
		}
		line.Color = c.color
		p.Add(line)
		p.Legend.Add(c.name, line)
		drawn = true
	}
	return drawn, nil
}

// render returns a plot as an SVG element without the XML declaration, which HTML does not allow.
func render(p *plot.Plot) (template.HTML, error) {
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", fmt.Errorf("draw plot: %w", err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", fmt.Errorf("write plot: %w", err)
	}
	svg := b.String()
	if i := strings.Index(svg, "<svg"); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil
}
