package main

import (
	"fmt"
	"strconv"

	"github.com/goccy/go-yaml"
)

// Bounds is the content of a bounds file: the benchmark figures to check and
// the tests that must exist.
type Bounds struct {
	Figures []FigureBound `yaml:"figures"`
	Tests   []TestBound   `yaml:"tests"`
}

// FigureBound is the entry of one benchmark figure and its bound.
type FigureBound struct {
	Package   string `yaml:"package"`   // package pattern for go test: ./steer/limit
	Benchmark string `yaml:"benchmark"` // name without the prefix Benchmark: Choose/14
	Unit      string `yaml:"unit"`      // unit as printed by the benchmark: allocs/op
	// Over names another benchmark of the same package. If it is set, the figure
	// is the value of Benchmark divided by the value of Over.
	Over  string `yaml:"over"`
	Bound Limit  `yaml:"bound"`
	// Target is the requirement from which the bound is derived.
	Target string `yaml:"target"`
	// Reason explains why the figure has no bound.
	Reason string `yaml:"reason"`
	// CI includes a figure without a bound in CI runs. Figures with a bound are
	// always included.
	CI bool `yaml:"ci"`
}

// TestBound names a test that checks a figure of a seeded simulation against a
// target. The test itself is run by go test; bench only checks that it exists.
type TestBound struct {
	Package string `yaml:"package"`
	Test    string `yaml:"test"`
	Target  string `yaml:"target"`
}

// Limit is the highest allowed value of a figure. The zero value is no limit.
type Limit struct {
	Set    bool
	AtMost float64
}

// noLimit represents a Limit that is not set in a bounds file.
const noLimit = "none"

// UnmarshalYAML parses a number or the word none.
func (l *Limit) UnmarshalYAML(content []byte) error {
	var text string
	if err := yaml.Unmarshal(content, &text); err != nil {
		return err
	}
	if text == noLimit {
		*l = Limit{}
		return nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fmt.Errorf("bound %q is neither a number nor %q", text, noLimit)
	}
	*l = Limit{Set: true, AtMost: v}
	return nil
}

// String returns the limit in the format of the bounds file.
func (l Limit) String() string {
	if !l.Set {
		return noLimit
	}
	return formatValue(l.AtMost)
}

// InvalidBoundError reports an entry of a bounds file that lacks a required
// field.
type InvalidBoundError struct {
	Name    string // name of the figure or test
	Problem string // the missing field
}

func (e *InvalidBoundError) Error() string { return fmt.Sprintf("%s: %s", e.Name, e.Problem) }

// decode parses and validates a bounds file. Unknown fields are errors.
func decode(content []byte) (Bounds, error) {
	var b Bounds
	if err := yaml.UnmarshalWithOptions(content, &b, yaml.Strict()); err != nil {
		return Bounds{}, err
	}
	for _, f := range b.Figures {
		if err := f.validate(); err != nil {
			return Bounds{}, err
		}
	}
	for _, t := range b.Tests {
		if t.Package == "" || t.Test == "" || t.Target == "" {
			return Bounds{}, &InvalidBoundError{Name: t.name(), Problem: "package, test and target are required"}
		}
	}
	return b, nil
}

func (f FigureBound) validate() error {
	switch {
	case f.Package == "" || f.Benchmark == "" || f.Unit == "":
		return &InvalidBoundError{Name: f.name(), Problem: "package, benchmark and unit are required"}
	case f.Bound.Set && f.Target == "":
		return &InvalidBoundError{Name: f.name(), Problem: "a bound requires a target"}
	case !f.Bound.Set && f.Reason == "":
		return &InvalidBoundError{Name: f.name(), Problem: "a figure without a bound requires a reason"}
	}
	return nil
}

func (f FigureBound) name() string {
	name := f.Package + " " + f.Benchmark
	if f.Over != "" {
		name += " over " + f.Over
	}
	return name + " " + f.Unit
}

func (t TestBound) name() string { return t.Package + " " + t.Test }

// forCI returns the figures that are checked or printed in CI.
func forCI(bounds []FigureBound) []FigureBound {
	var selected []FigureBound
	for _, f := range bounds {
		if f.Bound.Set || f.CI {
			selected = append(selected, f)
		}
	}
	return selected
}
