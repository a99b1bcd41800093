package scale

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Fit is a line through points by ordinary least squares.
type Fit struct {
	Intercept float64
	Slope     float64
	// Error is the standard error of the slope; NaN with fewer than three points.
	Error float64
}

// fitLine needs at least two different values of x.
func fitLine(x, y []float64) Fit {
	count := float64(len(x))
	meanX, meanY := mean(x), mean(y)
	squares, products := 0.0, 0.0
	for index := range x {
		squares += (x[index] - meanX) * (x[index] - meanX)
		products += (x[index] - meanX) * (y[index] - meanY)
	}
	line := Fit{Slope: products / squares}
	line.Intercept = meanY - line.Slope*meanX
	residuals := 0.0
	for index := range x {
		residual := y[index] - line.Intercept - line.Slope*x[index]
		residuals += residual * residual
	}
	line.Error = math.NaN()
	if count > 2 {
		line.Error = math.Sqrt(residuals / (count - 2) / squares)
	}
	return line
}

func mean(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total / float64(len(values))
}

// quantity is a column of a point.
type quantity struct {
	name string
	of   func(Usage) float64
}

// parameters may be varied by a run.
var parameters = []quantity{
	{"nodes", func(u Usage) float64 { return float64(u.Nodes) }},
	{"engines a node", func(u Usage) float64 { return float64(u.Engines) / float64(u.Nodes) }},
	{"tenants", func(u Usage) float64 { return float64(u.Tenants) }},
	{"record copies a node", func(u Usage) float64 { return float64(u.Copies) / float64(u.Nodes) }},
	{"changes a second", func(u Usage) float64 { return u.ChangesPerSecond }},
}

// costs are fitted against a parameter.
var costs = []quantity{
	{"core %", func(u Usage) float64 { return 100 * u.Core }},
	{"peer B/s", func(u Usage) float64 { return u.BytesPerSecond["peer"] }},
	{"engine B/s", func(u Usage) float64 { return u.BytesPerSecond["engine"] }},
	{"platform B/s", func(u Usage) float64 { return u.BytesPerSecond["platform"] }},
	{"control B/s", Usage.ControlBytes},
	{"live KB", func(u Usage) float64 { return 1024 * u.MemoryMB }},
	{"resident KB", func(u Usage) float64 { return 1024 * u.ResidentMB }},
	{"start KB", func(u Usage) float64 { return u.StartKB }},
}

// PrintFit writes the slopes of all costs against the one parameter that differs
// between the points, and nothing where none or several differ.
func PrintFit(out io.Writer, points []Usage) error {
	varied := variedParameters(points)
	if len(varied) != 1 {
		return nil
	}
	x := column(points, varied[0])
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "against %s\tat 0\tslope\tstandard error\t\n", varied[0].name)
	for _, cost := range costs {
		line := fitLine(x, column(points, cost))
		fmt.Fprintf(table, "%s\t%.3f\t%.5f\t%.5f\t\n", cost.name, line.Intercept, line.Slope, line.Error)
	}
	return table.Flush()
}

func variedParameters(points []Usage) []quantity {
	var varied []quantity
	for _, parameter := range parameters {
		for _, point := range points {
			if parameter.of(point) != parameter.of(points[0]) {
				varied = append(varied, parameter)
				break
			}
		}
	}
	return varied
}

func column(points []Usage, of quantity) []float64 {
	var values []float64
	for _, point := range points {
		values = append(values, of.of(point))
	}
	return values
}
