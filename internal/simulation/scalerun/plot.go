package scalerun

import (
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 7 * vg.Inch
	plotRows   = 2
	plotCols   = 2
)

// plot draws four figures of every role against the workers, under load.
func (r *Report) plot(path string) error {
	var plots [plotRows][]*plot.Plot
	for place, figure := range measures[:plotRows*plotCols] {
		drawn, err := r.plotOf(figure)
		if err != nil {
			return err
		}
		plots[place/plotCols] = append(plots[place/plotCols], drawn)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: plotRows, Cols: plotCols, PadX: vg.Millimeter * 4, PadY: vg.Millimeter * 4}
	for row, canvases := range plot.Align(plots[:], tiles, draw.New(canvas)) {
		for column, tile := range canvases {
			plots[row][column].Draw(tile)
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = canvas.WriteTo(file)
	return err
}

func (r *Report) plotOf(figure measure) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text, drawn.X.Label.Text, drawn.Y.Label.Text = figure.name+" under load", "workers", figure.unit
	drawn.Legend.Top, drawn.Legend.Left = true, true
	drawn.Y.Min = 0
	drawn.Add(plotter.NewGrid())
	var lines []any
	for _, role := range Roles {
		var points plotter.XYs
		for _, size := range r.Sizes {
			for _, window := range size.Windows {
				if value, isThere := window.mean(role, figure); isThere && window.Phase == phaseLoad {
					points = append(points, plotter.XY{X: float64(size.Workers), Y: value})
				}
			}
		}
		if len(points) > 0 {
			lines = append(lines, role, points)
		}
	}
	return drawn, plotutil.AddLinePoints(drawn, lines...)
}
