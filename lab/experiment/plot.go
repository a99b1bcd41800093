package experiment

import (
	"fmt"
	"image/color"
	"io"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Sizes of the plot.
const (
	chartWidth  = 22 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
	barWidth    = 11 * vg.Length(1)
	chartPad    = 4 * vg.Millimeter
	// legendRoom is the height of a chart in relation to its highest bar, so
	// that the legend stands above the bars.
	legendRoom = 1.5
)

// chart is one diagram of a deployment: a value of each result.
type chart struct {
	title string
	value func(*Result) float64
}

var charts = [...]chart{
	{"program latency p95 [s]", func(r *Result) float64 { return r.Latency.P95 }},
	{"prompt tokens computed again [million]", func(r *Result) float64 {
		return float64(r.WastedTokens+r.EvictedTokens) / million
	}},
	{"goodput [programs/s]", func(r *Result) float64 { return r.Goodput }},
}

// policyColors tell the policies apart, in the order of the results.
var policyColors = [...]color.RGBA{
	{R: 0x1b, G: 0x7f, B: 0x79, A: 0xff},
	{R: 0xd9, G: 0x8e, B: 0x04, A: 0xff},
	{R: 0xa8, G: 0x32, B: 0x4a, A: 0xff},
}

// WritePNG draws the report: a column of diagrams for each deployment.
func (r *Report) WritePNG(w io.Writer) error {
	columns := len(r.Capacities)
	canvas := vgimg.New(chartWidth*vg.Length(columns), chartHeight*vg.Length(len(charts)))
	tiles := draw.Tiles{
		Rows:      len(charts),
		Cols:      columns,
		PadX:      chartPad,
		PadY:      chartPad,
		PadTop:    chartPad,
		PadBottom: chartPad,
		PadLeft:   chartPad,
		PadRight:  chartPad,
	}
	drawing := draw.New(canvas)
	for column, capacity := range r.Capacities {
		for row, chart := range charts {
			drawn, err := r.draw(capacity.Deployment, chart)
			if err != nil {
				return merry.Prependf(err, "draw %s of %s", chart.title, capacity.Deployment)
			}
			drawn.Draw(tiles.At(drawing, column, row))
		}
	}
	_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(w)
	return merry.Wrap(err)
}

func (r *Report) draw(deployment string, chart chart) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text = deployment + ": " + chart.title
	drawn.Legend.Top = true
	scenarios, policies := r.axes(deployment)
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(r.values(deployment, policy, scenarios, chart), barWidth)
		if err != nil {
			return nil, merry.Wrap(err)
		}
		bars.Color = policyColors[i%len(policyColors)]
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(policies)-1)/2)
		drawn.Add(bars)
		drawn.Legend.Add(policy, bars)
	}
	drawn.NominalX(scenarios...)
	drawn.Y.Min = 0
	drawn.Y.Max *= legendRoom
	return drawn, nil
}

// axes lists the scenarios and policies of a deployment in the order of the
// results.
func (r *Report) axes(deployment string) (scenarios, policies []string) {
	seen := make(map[string]bool)
	add := func(list []string, name string) []string {
		if seen[name] {
			return list
		}
		seen[name] = true
		return append(list, name)
	}
	for i := range r.Results {
		if result := &r.Results[i]; result.Deployment == deployment {
			scenarios = add(scenarios, result.scenario())
			policies = add(policies, result.Policy)
		}
	}
	return scenarios, policies
}

func (r *Result) scenario() string {
	if r.Fault == NoFault {
		return fmt.Sprintf("%gx", r.Load)
	}
	return fmt.Sprintf("%s %gx", r.Fault, r.Load)
}

func (r *Report) values(deployment, policy string, scenarios []string, chart chart) plotter.Values {
	values := make(plotter.Values, len(scenarios))
	for i := range r.Results {
		result := &r.Results[i]
		if result.Deployment != deployment || result.Policy != policy {
			continue
		}
		for position, scenario := range scenarios {
			if scenario == result.scenario() {
				values[position] = chart.value(result)
			}
		}
	}
	return values
}
