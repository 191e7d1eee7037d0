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
)

// Point is one measured point with the least and the most of its seeds.
type Point struct{ X, Y, Low, High float64 }

// Line is a named row of points.
type Line struct {
	Name   string
	Points []Point
}

// Chart is one plot.
type Chart struct {
	Title, X, Y string
	LogX, LogY  bool
	Lines       []Line
}

// Page is one report.
type Page struct {
	Title  string
	Intro  []string
	Head   []string
	Rows   [][]string
	Charts []Chart
}

// errors are the bars of a line's points.
type bars struct {
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
	for i, l := range c.Lines {
		b := bars{}
		spread := false
		for _, pt := range l.Points {
			if c.LogX && pt.X <= 0 || c.LogY && pt.Y <= 0 {
				continue // a logarithm has no place for it
			}
			b.XYs = append(b.XYs, plotter.XY{X: pt.X, Y: pt.Y})
			b.YErrors = append(b.YErrors, struct{ Low, High float64 }{max(0, pt.Y-pt.Low), max(0, pt.High-pt.Y)})
			spread = spread || pt.Low != pt.High
		}
		if len(b.XYs) == 0 {
			continue
		}
		line, points, err := plotter.NewLinePoints(b.XYs)
		if err != nil {
			return nil, fmt.Errorf("plots: %s, %s: %w", c.Title, l.Name, err)
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		line.Dashes, points.Shape = plotutil.Dashes(i), plotutil.Shape(i)
		p.Add(line)
		if len(b.XYs) <= 40 {
			p.Add(points)
			p.Legend.Add(l.Name, line, points)
		} else {
			p.Legend.Add(l.Name, line)
		}
		if spread {
			eb, err := plotter.NewYErrorBars(b)
			if err != nil {
				return nil, fmt.Errorf("plots: %s, %s: %w", c.Title, l.Name, err)
			}
			eb.Color = plotutil.Color(i)
			p.Add(eb)
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

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px/1.45 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}
td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}</style>
<h1>{{.Title}}</h1>{{range .Intro}}<p>{{.}}</p>{{end}}
<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
{{range .SVGs}}<figure>{{.}}</figure>{{end}}
</html>
`))

// Write writes the page.
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
		if at := bytes.Index(svg, []byte("<svg")); at > 0 { // without the prologue of a file of its own
			svg = svg[at:]
		}
		data.SVGs = append(data.SVGs, template.HTML(svg))
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("plots: %w", err)
	}
	return nil
}
