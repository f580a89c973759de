package main

import (
	"fmt"
	"io"

	"gonum.org/v1/gonum/stat"
)

// point is one measurement: the size and the value at that size.
type point struct {
	x float64
	y float64
}

// series is one quantity as a function of a single varied size.
type series struct {
	name     string
	unit     string
	variable string
	points   []point
}

// print writes the points and their linear regression: slope, intercept and R squared.
func (s *series) print(w io.Writer) {
	xs := make([]float64, 0, len(s.points))
	ys := make([]float64, 0, len(s.points))
	for _, p := range s.points {
		xs = append(xs, p.x)
		ys = append(ys, p.y)
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	fit := stat.RSquared(xs, ys, nil, intercept, slope)
	fmt.Fprintf(w, "%-44s %-10s by %-22s slope %12.5g  intercept %12.5g  fit %.3f ", s.name, s.unit, s.variable, slope, intercept, fit)
	for _, p := range s.points {
		fmt.Fprintf(w, "  %g:%.5g", p.x, p.y)
	}
	fmt.Fprintln(w)
}
