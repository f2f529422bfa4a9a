package analysis

import (
	"fmt"

	"github.com/go-analyze/charts"
	"github.com/rotisserie/eris"
)

// Size of the plot in pixels.
const (
	plotWidth  = 1000
	plotHeight = 480
)

// Plot returns the use of the cores over time as an SVG image.
func (r *Report) Plot() ([]byte, error) {
	if len(r.Samples) == 0 {
		return nil, eris.New("the log has no summary lines of the owner to plot")
	}
	values := make([][]float64, 5)
	var times []string
	for _, s := range r.Samples {
		for i, v := range []float64{s.Cores, s.Used, s.ReservedIdle, s.Stranded, s.Free} {
			values[i] = append(values[i], v)
		}
		times = append(times, fmt.Sprintf("%.0f", s.At))
	}
	painter, err := charts.LineRender(values,
		charts.SVGOutputOptionFunc(),
		charts.DimensionsOptionFunc(plotWidth, plotHeight),
		charts.TitleTextOptionFunc("Cores over time (s)"),
		charts.XAxisLabelsOptionFunc(times),
		charts.LegendLabelsOptionFunc([]string{"capacity", "used", "reserved, idle", "stranded", "free"}),
	)
	if err != nil {
		return nil, eris.Wrap(err, "plot the cores")
	}
	return painter.Bytes()
}
