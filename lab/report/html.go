package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// page is the text of pageTemplate.
//
//go:embed report.html
var page string

// pageTemplate is the template of the report page.
var pageTemplate = template.Must(template.New("report").Parse(page))

// chart is a chart on the report page. The page template reads its fields by name.
type chart struct {
	Title string
	SVG   template.HTML
}

// WriteHTML writes the result as one self-contained HTML page.
func (r *Result) WriteHTML(to io.Writer) error {
	var charts []chart
	s := r.Series
	add := func(title, unit string, logScale bool, dest int, curves ...curve) error {
		svg, err := r.draw(unit, logScale, dest, curves)
		if err == nil {
			charts = append(charts, chart{title, template.HTML(svg)}) // safe: the SVG is generated from numbers
		}
		return err
	}
	err := add("Notifications over time", "per second", false, allDests, curve{"offered", s.points(s.Offered)}, curve{"delivered", s.points(s.Delivered)},
		curve{"delivered late", s.points(s.Late)}, curve{"refused", s.points(s.Refused)}, curve{"ended by a notice", s.points(s.Notices)})
	if err == nil {
		err = add("Notifications owed and pushes in flight", "notifications", false, allDests, curve{"owed", s.points(s.Owed)}, curve{"pushes in flight", s.points(s.PushesInFlight)})
	}
	if err == nil {
		var curves []curve
		for _, t := range r.Topics {
			var xy plotter.XYs
			for _, c := range t.Curve {
				xy = append(xy, plotter.XY{X: math.Max(c.Seconds, 1e-5), Y: c.Share})
			}
			curves = append(curves, curve{t.Name, xy})
		}
		err = add("Latency from the planned time, by topic type", "share delivered", true, allDests, curves...)
	}
	for _, p := range r.Partners {
		if err == nil {
			perSecond := Series{Step: 1}
			err = add(fmt.Sprintf("Destination %d (%s): %d calls, %d turned away", p.Dest, p.Kind, p.Calls, p.Throttled), "calls per second", false, p.Dest,
				curve{"calls", perSecond.points(p.CallRate)}, curve{"capacity", perSecond.points(p.Capacity)})
		}
	}
	if err != nil {
		return err
	}
	var table bytes.Buffer
	r.WriteTable(&table)
	return pageTemplate.Execute(to, map[string]any{"Title": r.Title, "Table": table.String(), "Pictures": charts,
		"Bands": r.Bands, "Broken": len(r.Violations)})
}

// curve is one line of a chart, with its name in the legend.
type curve struct {
	name   string
	points plotter.XYs
}

// points returns the points of a curve that has a value for each step of the series, each at the middle of its step.
func (s Series) points(list []float64) plotter.XYs {
	xy := make(plotter.XYs, len(list))
	for i, v := range list {
		xy[i] = plotter.XY{X: (float64(i) + 0.5) * s.Step, Y: v}
	}
	return xy
}

// colours are curve colours that stay distinguishable with colour blindness.
var colours = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 80, 70, 255}, color.RGBA{230, 159, 0, 255}}

const (
	allDests = -1                 // as a destination: the chart shows the troubles of all destinations
	width    = 24 * vg.Centimeter // of a chart
	height   = 7 * vg.Centimeter  // of a chart
)

// draw returns a chart as SVG. The x axis is the time of the run, with the troubles of dest as shaded bands. If logScale is set,
// the x axis is a logarithmic scale of seconds instead, there are no bands, and the y axis ends at 1.
func (r *Result) draw(unit string, logScale bool, dest int, curves []curve) (string, error) {
	p := plot.New()
	p.Y.Label.Text, p.X.Label.Text = unit, "seconds"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.XOffs = true, vg.Points(-6)
	p.Add(plotter.NewGrid())
	maxY := 0.0
	for _, c := range curves {
		for _, xy := range c.points {
			maxY = max(maxY, xy.Y)
		}
	}
	if logScale {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		p.Legend.Left = true
	} else {
		p.X.Min, p.X.Max = 0, r.EndedAt
		for _, b := range r.Bands {
			if dest != allDests && !slices.Contains(b.Dests, dest) && len(b.Dests) > 0 {
				continue
			}
			band, err := plotter.NewPolygon(plotter.XYs{{X: b.From, Y: 0}, {X: min(b.To, r.EndedAt), Y: 0}, {X: min(b.To, r.EndedAt), Y: maxY}, {X: b.From, Y: maxY}})
			if err != nil {
				return "", err
			}
			band.Color, band.LineStyle.Width = color.NRGBA{230, 159, 0, 40}, 0
			p.Add(band)
		}
	}
	for i, c := range curves {
		if len(c.points) == 0 {
			continue
		}
		plotted, err := plotter.NewLine(c.points)
		if err != nil {
			return "", err
		}
		plotted.Color, plotted.Width = colours[i%len(colours)], vg.Points(1.5)
		p.Add(plotted)
		p.Legend.Add(c.name, plotted)
	}
	const headroom = 1.4 // space for the legend, as a factor on the largest value
	if p.Y.Max = max(maxY*headroom, 1e-9); logScale {
		p.Y.Max = 1
	}
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	_, svg, _ := bytes.Cut(b.Bytes(), []byte("<svg"))
	return "<svg" + string(svg), nil
}
