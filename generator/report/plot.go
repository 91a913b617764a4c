package report

import (
	"io"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 14 // points
	// groupMargin is the margin left and right of the centres of the outer groups of
	// bars; 1 is the distance between two groups.
	groupMargin = 0.6
	// legendRoom scales the Y axis to leave space for the legend above the bars.
	legendRoom = 1.35
)

// draw writes grouped bars as SVG: one group per scenario, one bar per policy.
func (s section) draw(w io.Writer) error {
	p := plot.New()
	p.Y.Label.Text = s.Unit
	p.Y.Min = 0
	p.Legend.Top = true
	for i, policy := range s.Policies {
		values := make(plotter.Values, len(s.Rows))
		for j, r := range s.Rows {
			values[j] = r.Cells[i].Mean
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "create the bar chart")
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(s.Policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	var names []string
	for _, r := range s.Rows {
		names = append(names, r.Scenario)
	}
	p.NominalX(names...)
	// Leaves space for the outer bars and, above the bars, for the legend.
	p.X.Min, p.X.Max = -groupMargin, float64(len(s.Rows)-1)+groupMargin
	p.Y.Max *= legendRoom
	c, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Wrap(err, "draw the plot")
	}
	_, err = c.WriteTo(w)
	return errors.Wrap(err, "write the plot")
}
