package load

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 3.5 * vg.Inch
)

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font-family:sans-serif;max-width:70em;margin:2em auto}pre{overflow-x:auto;background:#f4f4f4;padding:1em}svg{max-width:100%;height:auto}</style>
</head><body><h1>{{.Name}}</h1><p>{{.About}}</p><pre>{{.Text}}</pre>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}</body></html>
`))

type figure struct {
	Title string
	SVG   template.HTML
}

// WriteHTML writes r as one HTML page with inline plots.
func (r Report) WriteHTML(w io.Writer) error {
	var text bytes.Buffer
	if err := r.WriteText(&text); err != nil {
		return err
	}
	var figures []figure
	for _, p := range r.Phases {
		fs, err := p.figures()
		if err != nil {
			return fmt.Errorf("draw plots of phase %s: %w", p.Name, err)
		}
		figures = append(figures, fs...)
	}
	return pageTemplate.Execute(w, map[string]any{"Name": r.Name, "About": r.About, "Text": text.String(), "Plots": figures})
}

func (p PhaseReport) figures() ([]figure, error) {
	var out []figure
	for _, f := range []struct {
		title, x, y string
		lines       []any
	}{
		{"answered in time, per second", "s", "answers/s", p.inTimeLines()},
		{"latency from the intended start", "per cent of answers", "ms", p.latencyLines()},
		{"edits active on all nodes", "ms", "share of edits", p.editLines()},
	} {
		if len(f.lines) == 0 {
			continue
		}
		svg, err := renderSVG(f.x, f.y, f.lines)
		if err != nil {
			return nil, err
		}
		out = append(out, figure{p.Name + ": " + f.title, template.HTML(svg)})
	}
	return out, nil
}

func (p PhaseReport) inTimeLines() []any {
	var lines []any
	for _, r := range p.Ranks {
		// The last second is incomplete.
		xy := make(plotter.XYs, max(0, len(r.InTimeBySecond)-1))
		for i := range xy {
			xy[i] = plotter.XY{X: float64(i), Y: r.InTimeBySecond[i]}
		}
		if len(xy) > 0 {
			lines = append(lines, fmt.Sprintf("%s via %s", r.Rank, r.Via), xy)
		}
	}
	return lines
}

func (p PhaseReport) latencyLines() []any {
	const steps = 200
	var lines []any
	for _, r := range p.Ranks {
		if r.latency == nil || r.latency.TotalCount() == 0 {
			continue
		}
		xy := make(plotter.XYs, steps)
		for i := range xy {
			q := 100 * float64(i+1) / steps
			xy[i] = plotter.XY{X: q, Y: float64(r.latency.ValueAtQuantile(q)) / 1000}
		}
		lines = append(lines, fmt.Sprintf("%s via %s", r.Rank, r.Via), xy)
	}
	return lines
}

func (p PhaseReport) editLines() []any {
	if p.Edits == nil || len(p.Edits.activeMillis) == 0 {
		return nil
	}
	ts := slices.Sorted(slices.Values(p.Edits.activeMillis))
	xy := make(plotter.XYs, len(ts))
	for i, t := range ts {
		xy[i] = plotter.XY{X: t, Y: float64(i+1) / float64(len(ts))}
	}
	return []any{"edits", xy}
}

// renderSVG returns a plot of lines as an SVG element. The elements of lines
// alternate between names and values of type plotter.XYs.
func renderSVG(x, y string, lines []any) (string, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Y.Min = 0
	p.Legend.Top = true
	if err := plotutil.AddLines(p, lines...); err != nil {
		return "", err
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(vgdraw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	// The XML declaration is not allowed inside an HTML page.
	if i := bytes.Index(b.Bytes(), []byte("<svg")); i >= 0 {
		return string(b.Bytes()[i:]), nil
	}
	return "", fmt.Errorf("plot output contains no svg element")
}
