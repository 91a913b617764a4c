package report

import (
	"bytes"
	"html/template"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/generator/bench"
)

const page = `<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>monsoondeck measures</title>
<style>
body{font-family:sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem}
table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2rem .6rem;text-align:right}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}
</style></head><body>
<h1>monsoondeck measures</h1>
{{range .}}<h2>{{.Measure}}, {{.Deployment}}</h2>
<p>Unit: {{.Unit}}. Mean over seeds; the table adds the number of runs.</p>
{{.Plot}}
<table><tr><th>scenario</th>{{range .Policies}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Scenario}}</td>{{range .Cells}}<td>{{if .Runs}}{{printf "%.4g" .Mean}} ({{.Runs}}){{end}}</td>{{end}}</tr>
{{end}}</table>
{{end}}</body></html>
`

// section is the part of the page for one measure of one deployment.
type section struct {
	Measure, Deployment, Unit string
	Policies                  []string
	Rows                      []row
	Plot                      template.HTML
}

// row is the row of the table for one scenario.
type row struct {
	Scenario string
	Cells    []cell // one per policy, in the order of section.Policies
}

// cell is the mean over the runs of one scenario and policy with different seeds.
type cell struct {
	Mean float64
	Runs int
}

// Write writes the lines of bench as an HTML page with one section per measure and
// deployment.
func Write(w io.Writer, lines []bench.Line) error {
	sections := group(lines)
	for i := range sections {
		var svg bytes.Buffer
		if err := sections[i].draw(&svg); err != nil {
			return errors.Wrapf(err, "plot %s", sections[i].Measure)
		}
		// The SVG is safe to embed: it is generated above, with escaped labels. The XML
		// declaration before it is cut off, as it is not allowed within HTML.
		_, body, _ := bytes.Cut(svg.Bytes(), []byte("<svg"))
		sections[i].Plot = template.HTML("<svg" + string(body))
	}
	t, err := template.New("page").Parse(page)
	if err != nil {
		return errors.Wrap(err, "parse the page")
	}
	return errors.Wrap(t.Execute(w, sections), "write the page")
}

// group groups the lines into sections in the order of their first appearance.
func group(lines []bench.Line) []section {
	var out []section
	for _, l := range lines {
		i := slices.IndexFunc(out, func(s section) bool { return s.Measure == l.Measure && s.Deployment == l.Deployment })
		if i < 0 {
			i = len(out)
			out = append(out, section{Measure: l.Measure, Deployment: l.Deployment, Unit: l.Unit})
		}
		out[i].add(l)
	}
	return out
}

// add adds a line to the mean of its scenario and policy.
func (s *section) add(l bench.Line) {
	p := slices.Index(s.Policies, l.Policy)
	if p < 0 {
		p = len(s.Policies)
		s.Policies = append(s.Policies, l.Policy)
		for i := range s.Rows {
			s.Rows[i].Cells = append(s.Rows[i].Cells, cell{})
		}
	}
	r := slices.IndexFunc(s.Rows, func(r row) bool { return r.Scenario == l.Scenario })
	if r < 0 {
		r = len(s.Rows)
		s.Rows = append(s.Rows, row{Scenario: l.Scenario, Cells: make([]cell, len(s.Policies))})
	}
	c := &s.Rows[r].Cells[p]
	c.Mean = (c.Mean*float64(c.Runs) + l.Value) / float64(c.Runs+1)
	c.Runs++
}
