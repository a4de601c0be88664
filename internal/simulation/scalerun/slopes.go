package scalerun

import (
	"github.com/juju/errors"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Point is one window: what was there, and what one figure was.
type Point struct {
	Workers, Running, Starts, Value float64
}

// Slope is a figure as a sum: Base + PerWorker x workers + PerRunning x running tasks + PerStart x starts a second.
type Slope struct {
	Base       float64 `json:"base"`
	PerWorker  float64 `json:"per-worker"`
	PerRunning float64 `json:"per-running-task"`
	PerStart   float64 `json:"per-start-a-second"`
	// RSquared is the share of the variance that the line explains.
	RSquared float64 `json:"r-squared"`
}

// Fit is the line of least squares through the points; it needs two sizes with a load and without.
func Fit(points []Point) (Slope, error) {
	if len(points) < 5 {
		return Slope{}, errors.Errorf("a slope needs 5 windows, and there are %d", len(points))
	}
	known, seen := mat.NewDense(len(points), 4, nil), mat.NewVecDense(len(points), nil)
	for row, point := range points {
		known.SetRow(row, []float64{1, point.Workers, point.Running, point.Starts})
		seen.SetVec(row, point.Value)
	}
	var problems mat.VecDense
	if err := problems.SolveVec(known, seen); err != nil {
		return Slope{}, errors.Annotate(err, "the windows do not tell workers, running tasks and starts apart")
	}
	slope := Slope{Base: problems.AtVec(0), PerWorker: problems.AtVec(1), PerRunning: problems.AtVec(2), PerStart: problems.AtVec(3)}
	var fitted, values []float64
	for _, point := range points {
		fitted, values = append(fitted, slope.At(point)), append(values, point.Value)
	}
	slope.RSquared = stat.RSquaredFrom(fitted, values, nil)
	return slope, nil
}

// At is the figure that the line gives at a point.
func (s Slope) At(point Point) float64 {
	return s.Base + s.PerWorker*point.Workers + s.PerRunning*point.Running + s.PerStart*point.Starts
}
