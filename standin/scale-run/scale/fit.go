package scale

import (
	"math"
	"slices"
)

// Point is what was measured at one size, one value for each repeat.
type Point struct {
	X  float64
	Ys []float64
}

// Line is a fit of least squares through all samples.
type Line struct {
	Slope     float64
	Intercept float64
	Error     float64 // standard error of the slope
	Power     float64 // exponent of a fit through the medians' logarithms, NaN if it has none
}

// At is the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit fits a line; with fewer than two sizes it has no slope.
func Fit(ps []Point) Line {
	var xs, ys, lx, ly []float64
	for _, p := range ps {
		for _, y := range p.Ys {
			xs, ys = append(xs, p.X), append(ys, y)
		}
		if m := Median(p.Ys); len(p.Ys) > 0 && m > 0 && p.X > 0 {
			lx, ly = append(lx, math.Log(p.X)), append(ly, math.Log(m))
		}
	}
	l := Line{Power: math.NaN()}
	l.Slope, l.Intercept, l.Error = squares(xs, ys)
	if len(lx) > 1 {
		l.Power, _, _ = squares(lx, ly)
	}
	return l
}

func squares(xs, ys []float64) (slope, intercept, err float64) {
	n := float64(len(xs))
	if n == 0 {
		return math.NaN(), math.NaN(), math.NaN()
	}
	var mx, my float64
	for i := range xs {
		mx, my = mx+xs[i]/n, my+ys[i]/n
	}
	var sxx, sxy float64
	for i := range xs {
		sxx += (xs[i] - mx) * (xs[i] - mx)
		sxy += (xs[i] - mx) * (ys[i] - my)
	}
	if sxx == 0 {
		return math.NaN(), my, math.NaN()
	}
	slope = sxy / sxx
	intercept = my - slope*mx
	if n < 3 {
		return slope, intercept, math.NaN()
	}
	var rest float64
	for i := range xs {
		d := ys[i] - intercept - slope*xs[i]
		rest += d * d
	}
	return slope, intercept, math.Sqrt(rest / (n - 2) / sxx)
}

// Median is the middle of the values, NaN of none.
func Median(vs []float64) float64 {
	if len(vs) == 0 {
		return math.NaN()
	}
	s := slices.Sorted(slices.Values(vs))
	if len(s)%2 == 1 {
		return s[len(s)/2]
	}
	return (s[len(s)/2-1] + s[len(s)/2]) / 2
}
