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

//go:embed report.html
var page string

var pageTemplate = template.Must(template.New("report").Parse(page))

// picture is one drawing in the report.
type picture struct {
	Title string
	SVG   template.HTML
}

// WriteHTML writes a result as one page that needs no other file.
func (r *Result) WriteHTML(to io.Writer) error {
	var pictures []picture
	s := r.Series
	add := func(title, unit string, log bool, dest int, lines ...line) error {
		svg, err := r.draw(unit, log, dest, lines)
		if err == nil {
			pictures = append(pictures, picture{title, template.HTML(svg)}) // drawn here, from numbers
		}
		return err
	}
	err := add("Notifications by time", "a second", false, all, line{"offered", s.points(s.Offered)}, line{"delivered", s.points(s.Delivered)},
		line{"of them late", s.points(s.Late)}, line{"refused", s.points(s.Refused)}, line{"ended by a notice", s.points(s.Notices)})
	if err == nil {
		err = add("Owed, and pushes out", "notifications", false, all, line{"owed", s.points(s.Owed)}, line{"pushes out", s.points(s.PushesInFlight)})
	}
	if err == nil {
		var curves []line
		for _, t := range r.Topics {
			var xy plotter.XYs
			for _, c := range t.Curve {
				xy = append(xy, plotter.XY{X: math.Max(c.Seconds, 1e-5), Y: c.Share})
			}
			curves = append(curves, line{t.Name, xy})
		}
		err = add("Latency from the planned moment, by topic type", "share delivered", true, all, curves...)
	}
	for _, p := range r.Partners {
		if err == nil {
			seconds := Series{Step: 1}
			err = add(fmt.Sprintf("Destination %d (%s): %d calls, %d turned away", p.Dest, p.Kind, p.Calls, p.Throttled), "calls a second", false, p.Dest,
				line{"calls", seconds.points(p.CallRate)}, line{"what it can take", seconds.points(p.Capacity)})
		}
	}
	if err != nil {
		return err
	}
	var table bytes.Buffer
	r.WriteTable(&table)
	return pageTemplate.Execute(to, map[string]any{"Title": r.Title, "Table": table.String(), "Pictures": pictures,
		"Bands": r.Bands, "Broken": len(r.Violations)})
}

// line is one curve.
type line struct {
	name string
	xy   plotter.XYs
}

func (s Series) points(list []float64) plotter.XYs {
	xy := make(plotter.XYs, len(list))
	for i, v := range list {
		xy[i] = plotter.XY{X: (float64(i) + 0.5) * s.Step, Y: v}
	}
	return xy
}

// Colours that people who see few of them can tell apart.
var colours = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 80, 70, 255}, color.RGBA{230, 159, 0, 255}}

const (
	all    = -1 // destinations: the troubles of each are shown
	width  = 24 * vg.Centimeter
	height = 7 * vg.Centimeter
)

// draw makes an SVG: curves over time with the troubles as bands behind them (one destination's, where it is of one), or
// over a logarithm of seconds.
func (r *Result) draw(unit string, log bool, dest int, lines []line) (string, error) {
	p := plot.New()
	p.Y.Label.Text, p.X.Label.Text = unit, "seconds"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.XOffs = true, vg.Points(-6)
	p.Add(plotter.NewGrid())
	top := 0.0
	for _, l := range lines {
		for _, xy := range l.xy {
			top = max(top, xy.Y)
		}
	}
	if log {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		p.Legend.Left = true
	} else {
		p.X.Min, p.X.Max = 0, r.EndedAt
		for _, b := range r.Bands {
			if dest != all && !slices.Contains(b.Dests, dest) && len(b.Dests) > 0 {
				continue
			}
			band, err := plotter.NewPolygon(plotter.XYs{{X: b.From, Y: 0}, {X: min(b.To, r.EndedAt), Y: 0}, {X: min(b.To, r.EndedAt), Y: top}, {X: b.From, Y: top}})
			if err != nil {
				return "", err
			}
			band.Color, band.LineStyle.Width = color.NRGBA{230, 159, 0, 40}, 0
			p.Add(band)
		}
	}
	for i, l := range lines {
		if len(l.xy) == 0 {
			continue
		}
		curve, err := plotter.NewLine(l.xy)
		if err != nil {
			return "", err
		}
		curve.Color, curve.Width = colours[i%len(colours)], vg.Points(1.5)
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	const headroom = 1.4 // for the legend
	if p.Y.Max = max(top*headroom, 1e-9); log {
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
