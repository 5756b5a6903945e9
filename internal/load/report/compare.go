package report

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Comparison lists the measures of two reports side by side.
type Comparison struct {
	Notes []string // why the reports are not fully comparable
	Rows  []Row
}

// Row is one measure in both reports.
type Row struct {
	Service string
	Part    string // whole, a phase or a kind of request
	Measure string
	A       float64
	B       float64
}

// Compare returns the measures that both reports contain, with notes on differences that make them incomparable.
func Compare(a, b Report) Comparison {
	var c Comparison
	c.addNoteIf(a.Experiment.Name != b.Experiment.Name, "the experiments differ: %s and %s", a.Experiment.Name, b.Experiment.Name)
	c.addNoteIf(a.Experiment.Seed != b.Experiment.Seed, "the seeds differ: %d and %d", a.Experiment.Seed, b.Experiment.Seed)
	c.addNoteIf(a.Machine != b.Machine, "the machines differ: %+v and %+v", a.Machine, b.Machine)
	c.addNoteIf(a.Interrupted || b.Interrupted, "a run was interrupted")
	c.add("all", "whole", a.All, b.All)
	for _, sa := range a.Services {
		for _, sb := range b.Services {
			if sa.Name == sb.Name {
				c.addService(sa, sb)
			}
		}
	}
	return c
}

func (c *Comparison) addNoteIf(cond bool, format string, args ...any) {
	if cond {
		c.Notes = append(c.Notes, fmt.Sprintf(format, args...))
	}
}

func (c *Comparison) addService(a, b Service) {
	c.add(a.Name, "whole", a.Whole, b.Whole)
	for i := range min(len(a.Phases), len(b.Phases)) {
		if a.Phases[i].Name == b.Phases[i].Name {
			c.add(a.Name, a.Phases[i].Name, a.Phases[i].Summary, b.Phases[i].Summary)
		}
	}
	for _, ka := range a.Requests {
		for _, kb := range b.Requests {
			if ka.Name == kb.Name {
				c.add(a.Name, ka.Name, ka.Summary, kb.Summary)
			}
		}
	}
}

func (c *Comparison) add(service, part string, a, b Summary) {
	for _, m := range []Row{
		{Measure: "offered", A: float64(a.Offered), B: float64(b.Offered)},
		{Measure: "good share", A: a.GoodShare, B: b.GoodShare},
		{Measure: "goodput /s", A: a.GoodPerSecond, B: b.GoodPerSecond},
		{Measure: "P50 ms", A: a.LatencyMillis.P50, B: b.LatencyMillis.P50},
		{Measure: "P99 ms", A: a.LatencyMillis.P99, B: b.LatencyMillis.P99},
		{Measure: "P99.9 ms", A: a.LatencyMillis.P999, B: b.LatencyMillis.P999},
		{Measure: "refused", A: float64(a.NotRun), B: float64(b.NotRun)},
		{Measure: "refused P99 ms", A: a.RefusalMillis.P99, B: b.RefusalMillis.P99},
		{Measure: "unknown", A: float64(a.Unknown), B: float64(b.Unknown)},
		{Measure: "broken, wrong, timeout", A: float64(a.Broken + a.Wrong + a.Timeout), B: float64(b.Broken + b.Wrong + b.Timeout)},
	} {
		m.Service, m.Part = service, part
		c.Rows = append(c.Rows, m)
	}
}

// Change returns the change from A to B as text: in percent of A, "=" if there is none, "new" if A is 0.
func (r Row) Change() string {
	if r.A == r.B {
		return "="
	}
	if r.A == 0 {
		return "new"
	}
	return fmt.Sprintf("%+.1f%%", 100*(r.B-r.A)/r.A)
}

// WriteText writes the comparison as a table.
func (c Comparison) WriteText(w io.Writer) error {
	for _, n := range c.Notes {
		fmt.Fprintln(w, "note:", n)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "Service\tPart\tMeasure\tA\tB\tChange")
	for _, r := range c.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%.4g\t%s\n", r.Service, r.Part, r.Measure, r.A, r.B, r.Change())
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write comparison: %w", err)
	}
	return nil
}
