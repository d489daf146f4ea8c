package main

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// figureKey identifies one figure of a benchmark.
type figureKey struct {
	pkg, benchmark, unit string
}

// figures holds the measured values. If a benchmark reports a figure more than
// once, the highest value is kept.
type figures map[figureKey]float64

// testKey identifies one test.
type testKey struct {
	pkg, test string
}

// testSet holds the tests that exist.
type testSet map[testKey]bool

// runner runs go test on one package at a time.
type runner struct {
	benchtime string
	goTest    func(args ...string) ([]byte, error)
}

// runBenchmarks runs the benchmarks named in bounds and returns their figures.
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

// findTests returns those of the tests named in bounds that exist.
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

// addOutput adds the figures in the benchmark output of one package. Units are
// kept as printed.
func (all figures) addOutput(pkg string, output []byte) error {
	reader := benchfmt.NewReader(bytes.NewReader(output), pkg)
	for reader.Scan() {
		switch rec := reader.Result().(type) {
		case *benchfmt.Result:
			all.addResult(pkg, rec)
		case *benchfmt.SyntaxError:
			return fmt.Errorf("parse benchmark output: %w", rec)
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

// nameWithoutProcs returns the name of a benchmark without the GOMAXPROCS
// suffix.
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

// benchmarkFunction returns the benchmark function of a name: BenchmarkChoose
// for Choose/14.
func benchmarkFunction(name string) string {
	function, _, _ := strings.Cut(name, "/")
	return "Benchmark" + function
}

// exactPattern returns a regular expression that matches exactly the given
// function names.
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
