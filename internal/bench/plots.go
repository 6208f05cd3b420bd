package bench

import (
	"fmt"
	"image/color"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = vg.Length(8)
	plotStep   = time.Second // time per point of the curves
)

// savePlots draws latency and outcomes over time, and load by server.
func savePlots(dir string, h *History, r *Report) error {
	charts := []struct {
		file string
		draw func(*History, *Report) (*plot.Plot, error)
	}{
		{"latency.svg", plotLatency},
		{"outcomes.svg", plotOutcomes},
		{"load.svg", plotLoad},
	}
	for _, chart := range charts {
		p, err := chart.draw(h, r)
		if err != nil {
			return fmt.Errorf("bench: %s: %w", chart.file, err)
		}
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, chart.file)); err != nil {
			return fmt.Errorf("bench: %s: %w", chart.file, err)
		}
	}
	return nil
}

// stepOf returns the step of the load in which a call was intended to be sent.
func stepOf(h *History, call *Call) int {
	return int((call.IntendedNS - h.Info.StartNS) / int64(plotStep))
}

func plotLatency(h *History, _ *Report) (*plot.Plot, error) {
	steps := map[int]*hdrhistogram.Histogram{}
	for i := range h.Calls {
		call := &h.Calls[i]
		if call.Outcome != CallAnswered || call.ResendOf != "" {
			continue
		}
		step := stepOf(h, call)
		if steps[step] == nil {
			steps[step] = newHistogram()
		}
		_ = steps[step].RecordValue(call.latencyUS())
	}
	p := newPlot("Latency of answered calls, from the intended send", "ms")
	for i, percentile := range []float64{50, 99, 99.9} {
		var points plotter.XYs
		for _, step := range slices.Sorted(maps.Keys(steps)) {
			ms := float64(steps[step].ValueAtPercentile(percentile)) / 1000
			points = append(points, plotter.XY{X: float64(step), Y: ms})
		}
		if err := addLine(p, i, fmt.Sprintf("p%v", percentile), points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func plotOutcomes(h *History, _ *Report) (*plot.Plot, error) {
	byOutcome := map[CallOutcome]map[int]int{}
	last := 0
	for i := range h.Calls {
		call := &h.Calls[i]
		if byOutcome[call.Outcome] == nil {
			byOutcome[call.Outcome] = map[int]int{}
		}
		step := stepOf(h, call)
		byOutcome[call.Outcome][step]++
		last = max(last, step)
	}
	p := newPlot("Calls by outcome", "calls a second")
	for i, outcome := range slices.Sorted(maps.Keys(byOutcome)) {
		var points plotter.XYs
		for step := range last + 1 {
			points = append(points, plotter.XY{X: float64(step), Y: float64(byOutcome[outcome][step])})
		}
		if err := addLine(p, i, string(outcome), points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func plotLoad(_ *History, r *Report) (*plot.Plot, error) {
	p := newPlot("Runs by server", "runs")
	p.X.Label.Text = "server, ordered by name within its service"
	at := 0
	for i, service := range r.Services {
		var values plotter.Values
		for _, server := range slices.Sorted(maps.Keys(service.Runs)) {
			values = append(values, float64(service.Runs[server]))
		}
		if len(values) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		bars.XMin = float64(at)
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Color = color.Transparent
		p.Add(bars)
		p.Legend.Add(service.Service, bars)
		at += len(values) + 1
	}
	return p, nil
}

func newPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds of load"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

func addLine(p *plot.Plot, index int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
