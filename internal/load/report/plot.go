package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of each plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// Line widths; a thick curve stays visible under a thin one.
const (
	thin  = vg.Length(1)
	thick = vg.Length(3)
)

// Factors on the maximum of the y axis that leave headroom for the legend.
const (
	logHeadroom    = 4
	linearHeadroom = 1.4
)

// curve is one line of a plot.
type curve struct {
	name  string
	color color.RGBA
	width vg.Length
	value func(Summary) float64 // NaN and values that are not positive are skipped on a logarithmic axis
}

// Okabe-Ito colors, which are distinguishable with most forms of color blindness.
var (
	blue       = color.RGBA{0, 114, 178, 255}
	green      = color.RGBA{0, 158, 115, 255}
	orange     = color.RGBA{230, 159, 0, 255}
	vermillion = color.RGBA{213, 94, 0, 255}
)

var latencyCurves = []curve{
	{"P50", green, thin, func(s Summary) float64 { return s.LatencyMillis.P50 }},
	{"P90", blue, thin, func(s Summary) float64 { return s.LatencyMillis.P90 }},
	{"P99", orange, thin, func(s Summary) float64 { return s.LatencyMillis.P99 }},
	{"max", vermillion, thin, func(s Summary) float64 { return s.LatencyMillis.Max }},
}

var rateCurves = []curve{
	{"offered", blue, thick, func(s Summary) float64 { return s.OfferedPerSecond }},
	{"good", green, thin, func(s Summary) float64 { return s.GoodPerSecond }},
	{"refused", orange, thin, func(s Summary) float64 { return s.perSecond(s.NotRun) }},
	{"other", vermillion, thin, func(s Summary) float64 { return s.perSecond(s.Offered - s.Complete - s.NotRun) }},
}

// perSecond converts a count into a rate over the time span of the summary.
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
	p.Y.Tick.Marker = plot.TickerFunc(logTicks)
	p.Y.Max *= logHeadroom
	return render(p)
}

func ratePlot(series []Point) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "Requests"
	p.Y.Label.Text = "1/s"
	if _, err := addCurves(p, series, rateCurves, false); err != nil {
		return "", err
	}
	p.Y.Min = 0
	p.Y.Max = max(1, p.Y.Max*linearHeadroom)
	p.Y.Tick.Marker = plot.TickerFunc(linearTicks)
	return render(p)
}

// addCurves draws the curves and reports whether there was anything to draw. If positive is set, it skips values that
// are not positive, for a logarithmic axis.
func addCurves(p *plot.Plot, series []Point, curves []curve, positive bool) (bool, error) {
	p.X.Label.Text = "s"
	p.X.Tick.Marker = plot.TickerFunc(linearTicks)
	p.Legend.Top = true
	drawn := false
	for _, c := range curves {
		var xys plotter.XYs
		for _, point := range series {
			if y := c.value(point.Summary); !positive || y > 0 {
				xys = append(xys, plotter.XY{X: point.AtSeconds, Y: y})
			}
		}
		if len(xys) == 0 {
			continue
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return false, fmt.Errorf("plot %s: %w", c.name, err)
		}
		line.Color, line.Width = c.color, c.width
		p.Add(line)
		p.Legend.Add(c.name, line)
		drawn = true
	}
	return drawn, nil
}

// logTicks returns ticks at 1, 2 and 5 times the powers of ten.
func logTicks(low, high float64) []plot.Tick {
	if low <= 0 {
		return nil
	}
	var list []plot.Tick
	for decade := math.Pow(10, math.Floor(math.Log10(low))); decade <= high; decade *= 10 {
		for _, n := range []float64{1, 2, 5} {
			if v := n * decade; v >= low && v <= high {
				list = append(list, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'g', 3, 64)})
			}
		}
	}
	return list
}

// linearTicks returns about six ticks, spaced by 1, 2 or 5 times a power of ten.
func linearTicks(low, high float64) []plot.Tick {
	const wanted = 6
	if low >= high {
		return nil
	}
	rough := (high - low) / wanted
	step := math.Pow(10, math.Floor(math.Log10(rough)))
	for _, n := range []float64{5, 2} {
		if n*step <= rough {
			step *= n
			break
		}
	}
	var list []plot.Tick
	for i := math.Ceil(low / step); i*step <= high; i++ {
		list = append(list, plot.Tick{Value: i * step, Label: strconv.FormatFloat(i*step, 'g', 6, 64)})
	}
	return list
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
