// Package plots draws the results of experiments into one HTML page that needs
// nothing else: tables, and plots as SVG.
package plots

import (
	"bytes"
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	width  = 8 * vg.Inch
	height = 4 * vg.Inch
	// maxMarkers is the number of points up to which each of a line's points is marked.
	maxMarkers = 40
)

// Point is one measured point: the mean of its seeds, the least and the most of them.
type Point struct{ X, Y, Low, High float64 }

// Line is a named series of points.
type Line struct {
	Name   string
	Points []Point
}

// Chart is one plot, with the labels of its axes.
type Chart struct {
	Title, X, Y string
	LogX, LogY  bool
	Lines       []Line
}

// Page is one report: text, a table and charts.
type Page struct {
	Title  string
	Intro  []string
	Head   []string
	Rows   [][]string
	Charts []Chart
}

// spread is a line's points with the bars from the least to the most of the seeds. It has the
// methods that [plotter.NewYErrorBars] needs.
type spread struct {
	plotter.XYs
	plotter.YErrors
}

// SVG draws a chart.
func (c *Chart) SVG() ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Legend.Top = true
	if c.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if c.LogY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	p.Add(plotter.NewGrid())
	for i := range c.Lines {
		if err := c.addLine(p, i); err != nil {
			return nil, fmt.Errorf("plots: %s, %s: %w", c.Title, c.Lines[i].Name, err)
		}
	}
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("plots: %s: %w", c.Title, err)
	}
	return out.Bytes(), nil
}

// addLine adds the line at index i to a plot, in a color and shape of its own. A line without
// points is left out.
func (c *Chart) addLine(p *plot.Plot, i int) error {
	s, hasSpread := c.drawable(&c.Lines[i])
	if len(s.XYs) == 0 {
		return nil
	}
	line, points, err := plotter.NewLinePoints(s.XYs)
	if err != nil {
		return err
	}
	line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
	line.Dashes, points.Shape = plotutil.Dashes(i), plotutil.Shape(i)
	p.Add(line)
	legend := []plot.Thumbnailer{line}
	if len(s.XYs) <= maxMarkers {
		p.Add(points)
		legend = append(legend, points)
	}
	p.Legend.Add(c.Lines[i].Name, legend...)
	if !hasSpread {
		return nil
	}
	bars, err := plotter.NewYErrorBars(s)
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(i)
	p.Add(bars)
	return nil
}

// drawable are the points of a line that the axes can show: a logarithm has none at 0 and below.
func (c *Chart) drawable(line *Line) (s spread, hasSpread bool) {
	for _, point := range line.Points {
		if c.LogX && point.X <= 0 || c.LogY && point.Y <= 0 {
			continue
		}
		s.XYs = append(s.XYs, plotter.XY{X: point.X, Y: point.Y})
		bar := struct{ Low, High float64 }{max(0, point.Y-point.Low), max(0, point.High-point.Y)}
		s.YErrors = append(s.YErrors, bar)
		hasSpread = hasSpread || point.Low != point.High
	}
	return s, hasSpread
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px/1.45 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}
td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}</style>
<h1>{{.Title}}</h1>{{range .Intro}}<p>{{.}}</p>{{end}}
<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
{{range .SVGs}}<figure>{{.}}</figure>{{end}}
</html>
`))

// Write writes the page as HTML.
func (p *Page) Write(w io.Writer) error {
	data := struct {
		*Page
		SVGs []template.HTML
	}{Page: p}
	for i := range p.Charts {
		svg, err := p.Charts[i].SVG()
		if err != nil {
			return err
		}
		if at := bytes.Index(svg, []byte("<svg")); at > 0 { // without the prologue of an SVG file
			svg = svg[at:]
		}
		data.SVGs = append(data.SVGs, template.HTML(svg))
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("plots: %w", err)
	}
	return nil
}
