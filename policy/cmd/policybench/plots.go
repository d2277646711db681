package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/policy/internal/sim"
)

const (
	plotWidth      = 18 * vg.Centimeter
	plotHeight     = 11 * vg.Centimeter
	ablationHeight = 16 * vg.Centimeter
	barWidth       = 5 // points
	lineWidth      = 1.5
)

// plotFirstToken draws the distribution of the time to first token of short
// prompts, one line for each strategy.
func plotFirstToken(path string, results []*sim.Result) error {
	p := plot.New()
	p.Title.Text = "Time to first token of short prompts"
	p.X.Label.Text, p.Y.Label.Text = "ms", "share of the prompts with a first token, %"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, r := range results {
		if err := addLine(p, i, string(strategies[i]), distribution(r)); err != nil {
			return err
		}
	}
	target := float64(sim.FirstTokenTarget.Milliseconds())
	if err := addLine(p, len(results), "target", plotter.XYs{{X: target, Y: 0}, {X: target, Y: percent}}); err != nil {
		return err
	}
	p.Legend.Top, p.Legend.Left = true, true
	return save(p, plotHeight, path)
}

// distribution returns the quantiles of the time to first token of short prompts
// from 0 to 100% in steps of half a percent.
func distribution(r *sim.Result) plotter.XYs {
	const steps = 200
	var points plotter.XYs
	for i := range steps + 1 {
		q := percent * float64(i) / steps
		// The axis is logarithmic and has no zero.
		points = append(points, plotter.XY{X: max(1, ms(r.FirstToken[outcome.Short].ValueAtQuantile(q))), Y: q})
	}
	return points
}

// plotLoadCycle draws the share of short prompts in time by the second of arrival
// within a load cycle, over all cycles of the run.
func plotLoadCycle(path string, results []*sim.Result) error {
	p := plot.New()
	p.Title.Text = "Short prompts with the first token in 0.52 s"
	p.X.Label.Text, p.Y.Label.Text = "second of arrival in the load cycle of 40 s; the peak lasts from 15 to 27 s", "%"
	p.Y.Min, p.Y.Max = 0, percent
	for i, r := range results {
		var points plotter.XYs
		for second, n := range r.ByCycleSecond {
			if n.Arrived > 0 {
				points = append(points, plotter.XY{X: float64(second), Y: percent * float64(n.InTime) / float64(n.Arrived)})
			}
		}
		if err := addLine(p, i, string(strategies[i]), points); err != nil {
			return err
		}
	}
	p.Legend.Left = true
	return save(p, plotHeight, path)
}

// plotAblation draws two figures of each variant: the share of short prompts at
// peaks that are late, and the share of long prompts that do not finish.
func plotAblation(path string, rows [][]float64) error {
	p := plot.New()
	p.Title.Text = "Requests missed with one rule disabled"
	p.X.Label.Text = "%"
	names := make([]string, len(rows))
	for i, column := range []struct {
		name  string
		index int
	}{{"short prompts at peaks late", columnInTime}, {"long prompts not finished", columnLongFinished}} {
		var values plotter.Values
		for k := range rows {
			last := len(rows) - 1 - k // the first variant goes to the top
			names[k] = variants[last].name
			values = append(values, percent-rows[last][column.index])
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("draw bars %s: %w", column.name, err)
		}
		bars.Horizontal, bars.Color = true, plotutil.Color(i)
		bars.Offset = vg.Points(barWidth/2 - float64(i)*barWidth)
		p.Add(bars)
		p.Legend.Add(column.name, bars)
	}
	p.NominalY(names...)
	p.Legend.Top = true
	return save(p, ablationHeight, path)
}

func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("draw line %s: %w", name, err)
	}
	line.Color, line.Dashes, line.Width = plotutil.Color(i), plotutil.Dashes(i), vg.Points(lineWidth)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func save(p *plot.Plot, height vg.Length, path string) error {
	if err := p.Save(plotWidth, height, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
