package rehearsal

import (
	"fmt"
	"io"

	svg "github.com/ajstarks/svgo"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/rolloutview"
)

// The size of a plot and of its panels, in pixels.
const (
	plotWidth   = 800
	panelHeight = 140
	panelGap    = 40
	plotMargin  = 60
)

// panel is one line chart of a plot, with one or more curves over time.
type panel struct {
	title  string
	curves []curve
}

// curve is one line of a panel. value returns its value at a sample.
type curve struct {
	name, colour string
	value        func(*RolloutSample) float64
}

// panels show the share of the new version, and for both versions the failed and the overdue jobs.
var panels = []panel{
	{"share of the new version, percent", []curve{{"share", "steelblue", func(s *RolloutSample) float64 { return 100 * s.Share }}}},
	{"jobs failed", []curve{{"old version", "grey", func(s *RolloutSample) float64 { return float64(s.OldFailed) }},
		{"new version", "firebrick", func(s *RolloutSample) float64 { return float64(s.NewFailed) }}}},
	{"jobs waiting beyond their target", []curve{{"old version", "grey", func(s *RolloutSample) float64 { return float64(s.OldOverdue) }},
		{"new version", "firebrick", func(s *RolloutSample) float64 { return float64(s.NewOverdue) }}}},
}

// WritePlot draws the progress of a rollout as SVG, with a vertical line where it was rolled back or finished.
func WritePlot(out io.Writer, samples []RolloutSample) {
	canvas := svg.New(out)
	height := 2*plotMargin + len(panels)*(panelHeight+panelGap)
	canvas.Start(plotWidth, height)
	canvas.Rect(0, 0, plotWidth, height, "fill:white")
	for number, drawn := range panels {
		drawPanel(canvas, drawn, samples, plotMargin+number*(panelHeight+panelGap))
	}
	if end := findEnd(samples); end != nil {
		position := xOf(samples, end)
		canvas.Line(position, plotMargin, position, height-plotMargin, "stroke:black;stroke-dasharray:4")
		canvas.Text(plotMargin, height-plotMargin/2, fmt.Sprintf("%s after %.0f s: %s", end.State, end.AtS, end.Reason), "font-size:12px")
	}
	canvas.End()
}

// findEnd returns the first sample at which the rollout was over, or nil.
func findEnd(samples []RolloutSample) *RolloutSample {
	for index := range samples {
		if configuration.RolloutState(samples[index].State).IsOver() {
			return &samples[index]
		}
	}
	return nil
}

// xOf returns the horizontal position of a sample, in pixels.
func xOf(samples []RolloutSample, sample *RolloutSample) int {
	last := samples[len(samples)-1].at()
	return plotMargin + int(float64(plotWidth-2*plotMargin)*sample.at().Seconds()/max(1, last.Seconds()))
}

// drawPanel draws the curves of a panel. top is the position of its upper edge in pixels.
func drawPanel(canvas *svg.SVG, drawn panel, samples []RolloutSample, top int) {
	highest := 1.0
	for _, curve := range drawn.curves {
		for index := range samples {
			highest = max(highest, curve.value(&samples[index]))
		}
	}
	canvas.Text(plotMargin, top-8, drawn.title, "font-size:12px")
	canvas.Rect(plotMargin, top, plotWidth-2*plotMargin, panelHeight, "fill:none;stroke:lightgrey")
	canvas.Text(plotMargin-8, top+10, fmt.Sprintf("%.0f", highest), "font-size:10px;text-anchor:end")
	canvas.Text(plotMargin-8, top+panelHeight, "0", "font-size:10px;text-anchor:end")
	for number, curve := range drawn.curves {
		var xs, ys []int
		for index := range samples {
			xs = append(xs, xOf(samples, &samples[index]))
			ys = append(ys, top+panelHeight-int(panelHeight*curve.value(&samples[index])/highest))
		}
		canvas.Polyline(xs, ys, "fill:none;stroke-width:2;stroke:"+curve.colour)
		canvas.Text(plotWidth-plotMargin-100*(number+1), top-8, curve.name, "font-size:10px;fill:"+curve.colour)
	}
}

// writeSamples writes a line for each sample at which the state, the share, or the failed or overdue jobs of the new version changed. The
// reason in the last of these samples follows at the end.
func (p *printer) writeSamples(samples []RolloutSample) {
	if len(samples) == 0 {
		return
	}
	p.writeLine("%8s  %-12s %-22s %9s %9s %9s %9s %9s %9s", "second", "rollout", "share of new version", "old ended", "failed", "overdue", "new ended", "failed", "overdue")
	var before RolloutSample
	for _, sample := range samples {
		if sample.State == before.State && sample.Share == before.Share && sample.NewFailed == before.NewFailed && sample.NewOverdue == before.NewOverdue {
			continue
		}
		p.writeLine("%8.0f  %-12s [%s] %9d %9d %9d %9d %9d %9d", sample.AtS, sample.State, rolloutview.Bar(sample.Share), sample.OldEnded, sample.OldFailed, sample.OldOverdue, sample.NewEnded, sample.NewFailed, sample.NewOverdue)
		before = sample
	}
	if before.Reason != "" {
		p.writeLine("          %s", before.Reason)
	}
}
