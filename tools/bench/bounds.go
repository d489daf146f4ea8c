package main

import (
	"fmt"
	"strconv"

	"github.com/goccy/go-yaml"
)

// Bounds is the content of a bounds file.
type Bounds struct {
	Figures []FigureBound `yaml:"figures"`
	Tests   []TestBound   `yaml:"tests"`
}

// FigureBound says what one figure of a benchmark has to keep to.
type FigureBound struct {
	Package   string `yaml:"package"`   // as given to go test: ./steer/limit
	Benchmark string `yaml:"benchmark"` // without the prefix Benchmark: Choose/14
	Unit      string `yaml:"unit"`      // as the benchmark prints it: allocs/op
	// Over names a benchmark of the same package. If it is set, the figure is
	// the ratio of this benchmark's value to that one's.
	Over  string `yaml:"over"`
	Bound Limit  `yaml:"bound"`
	// Target is the stated aim that the bound comes from.
	Target string `yaml:"target"`
	// Reason says why there is no bound.
	Reason string `yaml:"reason"`
	// CI prints a figure without a bound in CI too. One with a bound is always
	// checked there.
	CI bool `yaml:"ci"`
}

// TestBound names a test that holds a figure of a seeded case to its target.
type TestBound struct {
	Package string `yaml:"package"`
	Test    string `yaml:"test"`
	Target  string `yaml:"target"`
}

// Limit is the highest value that a figure may have, or none.
type Limit struct {
	Set    bool
	AtMost float64
}

// noLimit is how a bounds file writes a Limit that isn't set.
const noLimit = "none"

// UnmarshalYAML reads a number or the word none.
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

// String is the limit as the bounds file writes it.
func (l Limit) String() string {
	if !l.Set {
		return noLimit
	}
	return formatValue(l.AtMost)
}

// InvalidBoundError is a line of a bounds file that does not say what it must.
type InvalidBoundError struct {
	Name    string // name of the line's figure or test
	Problem string // what the line lacks
}

func (e *InvalidBoundError) Error() string { return fmt.Sprintf("%s: %s", e.Name, e.Problem) }

// decode reads a bounds file. Unknown fields are errors.
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
			return Bounds{}, &InvalidBoundError{Name: t.name(), Problem: "want a package, a test and a target"}
		}
	}
	return b, nil
}

func (f FigureBound) validate() error {
	switch {
	case f.Package == "" || f.Benchmark == "" || f.Unit == "":
		return &InvalidBoundError{Name: f.name(), Problem: "want a package, a benchmark and a unit"}
	case f.Bound.Set && f.Target == "":
		return &InvalidBoundError{Name: f.name(), Problem: "a bound needs the target that it comes from"}
	case !f.Bound.Set && f.Reason == "":
		return &InvalidBoundError{Name: f.name(), Problem: "no bound needs a reason"}
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

// forCI returns the lines that are checked or printed in CI.
func forCI(bounds []FigureBound) []FigureBound {
	var selected []FigureBound
	for _, f := range bounds {
		if f.Bound.Set || f.CI {
			selected = append(selected, f)
		}
	}
	return selected
}
