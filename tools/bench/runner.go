package main

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// figureKey names one figure.
type figureKey struct {
	pkg, benchmark, unit string
}

// figures are the measured values. If a benchmark gave a figure more than
// once, the highest counts.
type figures map[figureKey]float64

// testKey names one test.
type testKey struct {
	pkg, test string
}

// testSet says which tests exist.
type testSet map[testKey]bool

// runner starts go test, one package after the other.
type runner struct {
	benchtime string
	goTest    func(args ...string) ([]byte, error)
}

// runBenchmarks runs the runBenchmarks of lines.
func (r runner) runBenchmarks(bounds []FigureBound) (figures, error) {
	wanted := make(map[string][]string)
	for _, f := range bounds {
		wanted[f.Package] = append(wanted[f.Package], benchmarkFunction(f.Benchmark))
		if f.Over != "" {
			wanted[f.Package] = append(wanted[f.Package], benchmarkFunction(f.Over))
		}
	}
	all := make(figures)
	for _, pkg := range sortedKeys(wanted) {
		out, err := r.goTest("-run", "^$", "-bench", exactPattern(wanted[pkg]), "-benchmem", "-benchtime", r.benchtime, pkg)
		if err != nil {
			return nil, err
		}
		if err := all.addOutput(pkg, out); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// findTests asks which of the listed findTests exist.
func (r runner) findTests(bounds []TestBound) (testSet, error) {
	wanted := make(map[string][]string)
	for _, t := range bounds {
		wanted[t.Package] = append(wanted[t.Package], t.Test)
	}
	found := make(testSet)
	for _, pkg := range sortedKeys(wanted) {
		out, err := r.goTest("-list", exactPattern(wanted[pkg]), pkg)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(out)) {
			found[testKey{pkg, strings.TrimSpace(line)}] = true
		}
	}
	return found, nil
}

// addOutput adds the figures of one package's output. Units are kept as printed.
func (all figures) addOutput(pkg string, output []byte) error {
	reader := benchfmt.NewReader(bytes.NewReader(output), pkg)
	for reader.Scan() {
		switch rec := reader.Result().(type) {
		case *benchfmt.Result:
			all.addResult(pkg, rec)
		case *benchfmt.SyntaxError:
			return fmt.Errorf("output of go test: %w", rec)
		}
	}
	return reader.Err()
}

func (all figures) addResult(pkg string, r *benchfmt.Result) {
	name := nameWithoutProcs(r.Name)
	for _, v := range r.Values {
		k := figureKey{pkg, name, v.Unit}
		value := v.Value
		if v.OrigUnit != "" {
			k.unit, value = v.OrigUnit, v.OrigValue
		}
		if old, ok := all[k]; !ok || value > old {
			all[k] = value
		}
	}
}

// nameWithoutProcs is a benchmark's name without the number of processors.
func nameWithoutProcs(n benchfmt.Name) string {
	base, parts := n.Parts()
	name := string(base)
	for _, p := range parts {
		if p[0] == '/' {
			name += string(p)
		}
	}
	return name
}

// benchmarkFunction is the name of the function that a benchmark's name begins with.
func benchmarkFunction(name string) string {
	function, _, _ := strings.Cut(name, "/")
	return "Benchmark" + function
}

// exactPattern is a pattern that matches exactly the given names of functions.
func exactPattern(names []string) string {
	slices.Sort(names)
	return "^(" + strings.Join(slices.Compact(names), "|") + ")$"
}

func sortedKeys(m map[string][]string) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
