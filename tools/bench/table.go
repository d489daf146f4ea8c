package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// Verdict is what is said of one line.
type Verdict string

// The verdicts.
const (
	Kept     Verdict = "kept"      // the figure is within its bound
	Missed   Verdict = "MISSED"    // the figure is above its bound
	NoFigure Verdict = "NO FIGURE" // the benchmark did not report it
	Printed  Verdict = "printed"   // there is no bound
	InTests  Verdict = "in tests"  // the test exists; the tests give its verdict
	NoTest   Verdict = "NO TEST"   // the listed test does not exist
)

// failing tells whether a line with this verdict fails the whole.
func (v Verdict) failing() bool { return v == Missed || v == NoFigure || v == NoTest }

// row is one printed line.
type row struct {
	name, figure, bound string
	verdict             Verdict
	source              string // the target of the bound, or why there is none
}

// table is what is printed.
type table []row

// judge joins the lines of the bounds file with what was measured and listed.
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

// value is the line's figure. It returns false if one that it needs was not
// measured, or if it would be a ratio to nothing.
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

// err names each line that fails the whole.
func (t table) err() error {
	var failed []error
	for _, r := range t {
		if r.verdict.failing() {
			failed = append(failed, fmt.Errorf("%s: %s: figure %s, bound %s", r.verdict, r.name, r.figure, r.bound))
		}
	}
	return errors.Join(failed...)
}
