package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// Verdict is the outcome of one entry of the bounds file.
type Verdict string

// The verdicts.
const (
	Kept     Verdict = "kept"      // the figure does not exceed its bound
	Missed   Verdict = "MISSED"    // the figure exceeds its bound
	NoFigure Verdict = "NO FIGURE" // the benchmark did not report the figure
	Printed  Verdict = "printed"   // the figure has no bound
	InTests  Verdict = "in tests"  // the test exists; go test decides whether it passes
	NoTest   Verdict = "NO TEST"   // the listed test does not exist
)

// failing reports whether an entry with this verdict fails the run.
func (v Verdict) failing() bool { return v == Missed || v == NoFigure || v == NoTest }

// row is one row of the printed table.
type row struct {
	name, figure, bound string
	verdict             Verdict
	source              string // the target of the bound, or the reason why there is none
}

// table is the printed result of a run.
type table []row

// judge compares the entries of the bounds file with the measured figures and
// the existing tests.
func judge(b Bounds, measured figures, existing testSet) table {
	var t table
	for _, f := range b.Figures {
		t = append(t, judgeFigure(f, measured))
	}
	for _, l := range b.Tests {
		verdict := NoTest
		if existing[testKey{l.Package, l.Test}] {
			verdict = InTests
		}
		t = append(t, row{name: l.name(), figure: "-", bound: "-", verdict: verdict, source: l.Target})
	}
	return t
}

func judgeFigure(f FigureBound, measured figures) row {
	r := row{name: f.name(), figure: "-", bound: f.Bound.String(), verdict: Printed, source: f.Target + f.Reason}
	value, ok := f.value(measured)
	if !ok {
		r.verdict = NoFigure
		return r
	}
	r.figure = formatValue(value)
	if f.Bound.Set {
		r.verdict = Missed
		if value <= f.Bound.AtMost {
			r.verdict = Kept
		}
	}
	return r
}

// value returns the measured figure. It returns false if a required value was
// not measured, or if the divisor of a ratio is zero or was not measured.
func (f FigureBound) value(measured figures) (float64, bool) {
	value, ok := measured[figureKey{f.Package, f.Benchmark, f.Unit}]
	if !ok || f.Over == "" {
		return value, ok
	}
	base := measured[figureKey{f.Package, f.Over, f.Unit}]
	if base == 0 {
		return 0, false
	}
	return value / base, true
}

func formatValue(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) }

func (t table) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := row{name: "NAME", figure: "FIGURE", bound: "BOUND", verdict: "VERDICT", source: "TARGET OR REASON"}
	for _, r := range append(table{header}, t...) {
		if _, err := fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", r.name, r.figure, r.bound, r.verdict, r.source); err != nil {
			return err
		}
	}
	return tw.Flush()
}

// err returns an error that names each failing row, or nil.
func (t table) err() error {
	var failed []error
	for _, r := range t {
		if r.verdict.failing() {
			failed = append(failed, fmt.Errorf("%s: %s: figure %s, bound %s", r.verdict, r.name, r.figure, r.bound))
		}
	}
	return errors.Join(failed...)
}
