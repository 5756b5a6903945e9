package report

import (
	_ "embed" // for page.html
	"fmt"
	"html/template"
	"io"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(share float64) string { return fmt.Sprintf("%.2f %%", 100*share) },
	"ms":      func(v float64) string { return fmt.Sprintf("%.1f", v) },
}).Parse(pageText))

type pageData struct {
	Report
	Sections []section
}

type section struct {
	Service
	Latency template.HTML
	Rate    template.HTML
}

// tableRow is one line of a table of summaries.
type tableRow struct {
	Name string
	Summary
}

// Rows returns the rows of the table of a service.
func (s section) Rows() []tableRow {
	list := []tableRow{{"whole run", s.Whole}}
	for _, p := range s.Phases {
		list = append(list, tableRow{fmt.Sprintf("%s (%.0f to %.0f s)", p.Name, p.FromSeconds, p.ToSeconds), p.Summary})
	}
	for _, k := range s.Requests {
		list = append(list, tableRow{k.Name, k.Summary})
	}
	return list
}

// WriteHTML writes the report as one HTML page with plots, which refers to no other files.
func (r Report) WriteHTML(w io.Writer) error {
	data := pageData{Report: r}
	for _, s := range r.Services {
		latency, err := latencyPlot(s.Series)
		if err != nil {
			return err
		}
		rate, err := ratePlot(s.Series)
		if err != nil {
			return err
		}
		data.Sections = append(data.Sections, section{s, latency, rate})
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
