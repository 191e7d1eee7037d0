package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"example.org/elmspan/lab/plots"
	"example.org/elmspan/lab/simulation"
)

// manyDigits is from where on a figure is shown with one decimal.
const manyDigits = 10

// reportIntro says on each page what is compared.
const reportIntro = "Simulated; means over the seeds, with the least and the most of them. Policies other than " +
	"elmspan have a fixed, equal share of each quota and send no gossip."

// tailPercents are the shares of slower responses at which the times of responses are drawn.
var tailPercents = []float64{90, 75, 50, 25, 10, 5, 2, 1, 0.5, 0.2, 0.1}

// figure is what is compared of each simulated day.
type figure struct {
	name string
	of   func(*simulation.Result) float64
}

var figures = []figure{
	{"served", func(r *simulation.Result) float64 { return r.Served() }},
	{"in aim", func(r *simulation.Result) float64 { return r.InTarget() }},
	{"p50 ms", func(r *simulation.Result) float64 { return r.Quantile(50) }},
	{"p99 ms", func(r *simulation.Result) float64 { return r.Quantile(99) }},
	{"words/s", func(r *simulation.Result) float64 { return r.MessagesPerS }},
	{"bytes/s", func(r *simulation.Result) float64 { return r.BytesPerS }},
	{"heartbeats/s", func(r *simulation.Result) float64 { return r.HeartbeatsPerS }},
	{"rules broken", func(r *simulation.Result) float64 { return float64(len(r.ViolationCounts)) }},
}

// tableRows are the figures of all points, as text. parameter is empty where none was varied.
func tableRows(points []simulation.Point, parameter string) (head []string, rows [][]string) {
	head = []string{"policy"}
	if parameter != "" {
		head = append(head, parameter)
	}
	head = append(head, "limiters")
	for _, f := range figures {
		head = append(head, f.name)
	}
	for i := range points {
		rows = append(rows, tableRow(&points[i], parameter != ""))
	}
	return head, rows
}

func tableRow(point *simulation.Point, varied bool) []string {
	row := []string{point.Policy}
	if varied {
		row = append(row, strconv.FormatFloat(point.Value, 'g', -1, 64))
	}
	row = append(row, strconv.Itoa(point.Results[0].Limiters))
	for _, f := range figures {
		row = append(row, formatSpread(point.Over(f.of)))
	}
	return row
}

// formatSpread shows a mean, and the least and the most where they differ.
func formatSpread(mean, low, high float64) string {
	decimals := 4
	if mean >= manyDigits {
		decimals = 1
	}
	text := strconv.FormatFloat(mean, 'f', decimals, 64)
	if low != high {
		text += fmt.Sprintf(" (%.4g-%.4g)", low, high)
	}
	return text
}

func printTable(points []simulation.Point, parameter string) {
	head, rows := tableRows(points, parameter)
	fmt.Println(strings.Join(head, "\t"))
	for _, row := range rows {
		fmt.Println(strings.Join(row, "\t"))
	}
}

// chartsOverTime are the charts of one day under several policies.
func chartsOverTime(points []simulation.Point) []plots.Chart {
	inTarget := plots.Chart{Title: "Answered within the aim, of what was within the quotas", X: "second", Y: "share"}
	tail := plots.Chart{
		Title: "Times of answers",
		X:     "share of answers that are slower, percent",
		Y:     "ms",
		LogX:  true,
		LogY:  true,
	}
	for _, point := range points {
		result := point.Results[0]
		inTarget.Lines = append(inTarget.Lines, inTargetLine(point.Policy, result))
		tail.Lines = append(tail.Lines, tailLine(point.Policy, result))
	}
	return []plots.Chart{inTarget, tail}
}

// inTargetLine is the share of responses within their latency target, over the seconds of a day.
func inTargetLine(policy string, result *simulation.Result) plots.Line {
	line := plots.Line{Name: policy}
	for i, second := range result.Seconds {
		if owed := second.Requests - second.OverQuota; owed > 0 {
			share := float64(second.InTarget) / float64(owed)
			line.Points = append(line.Points, exactPoint(float64(i), share))
		}
	}
	return line
}

// tailLine is the time of responses, over the share of those that are slower.
func tailLine(policy string, result *simulation.Result) plots.Line {
	line := plots.Line{Name: policy}
	for _, slower := range tailPercents {
		line.Points = append(line.Points, exactPoint(slower, result.Quantile(100-slower)))
	}
	return line
}

// exactPoint is a point without a spread.
func exactPoint(x, y float64) plots.Point { return plots.Point{X: x, Y: y, Low: y, High: y} }

// chartsOverParameter are the charts of a sweep: each figure over the parameter.
func chartsOverParameter(points []simulation.Point, parameter string) []plots.Chart {
	var charts []plots.Chart
	for _, f := range figures {
		chart := plots.Chart{Title: f.name, X: parameter, Y: f.name}
		lineOf := map[string]int{} // by policy
		for i := range points {
			point := &points[i]
			at, known := lineOf[point.Policy]
			if !known {
				at = len(chart.Lines)
				lineOf[point.Policy] = at
				chart.Lines = append(chart.Lines, plots.Line{Name: point.Policy})
			}
			mean, low, high := point.Over(f.of)
			line := &chart.Lines[at]
			line.Points = append(line.Points, plots.Point{X: point.Value, Y: mean, Low: low, High: high})
		}
		charts = append(charts, chart)
	}
	return charts
}

// experimentReport is what an experiment has found.
type experimentReport struct {
	title     string
	parameter string // empty: none was varied
	points    []simulation.Point
	charts    []plots.Chart
}

// report writes the files that were asked for. The error is errRuleBroken where the gateway's own
// policy broke a rule.
func (c *Experiment) report(r *experimentReport) error {
	if c.HTML != "" {
		if err := r.writeHTML(c.HTML); err != nil {
			return err
		}
	}
	if c.CSV != "" {
		if err := r.writeCSV(c.CSV); err != nil {
			return err
		}
	}
	for _, point := range r.points {
		for _, result := range point.Results {
			if point.Policy == simulation.Elmspan && !result.Passed() {
				return errRuleBroken
			}
		}
	}
	return nil
}

func (r *experimentReport) writeHTML(path string) error {
	page := plots.Page{Title: r.title, Charts: r.charts, Intro: []string{reportIntro}}
	page.Head, page.Rows = tableRows(r.points, r.parameter)
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(page.Write(f), f.Close())
}

// writeCSV writes a line for each simulated day.
func (r *experimentReport) writeCSV(path string) error {
	head := []string{"policy", "value", "seed"}
	for _, f := range figures {
		head = append(head, f.name)
	}
	lines := [][]string{head}
	for _, point := range r.points {
		for i, result := range point.Results {
			line := []string{point.Policy, strconv.FormatFloat(point.Value, 'g', -1, 64), strconv.Itoa(i)}
			for _, f := range figures {
				line = append(line, strconv.FormatFloat(f.of(result), 'g', 6, 64))
			}
			lines = append(lines, line)
		}
	}
	return writeCSVFile(path, lines)
}

// writeCSVFile writes lines to a file.
func writeCSVFile(path string, lines [][]string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(csv.NewWriter(f).WriteAll(lines), f.Close())
}
