package main

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// key names one figure.
type key struct {
	pkg, benchmark, unit string
}

// figures are the measured values. If a benchmark gave a figure more than
// once, the highest counts.
type figures map[key]float64

// testKey names one test.
type testKey struct {
	pkg, test string
}

// listing says which tests exist.
type listing map[testKey]bool

// runner starts go test, one package after the other.
type runner struct {
	benchtime string
	goTest    func(args ...string) ([]byte, error)
}

// benchmarks runs the benchmarks of lines.
func (r runner) benchmarks(lines []FigureBound) (figures, error) {
	wanted := make(map[string][]string)
	for _, f := range lines {
		wanted[f.Package] = append(wanted[f.Package], root(f.Benchmark))
		if f.Over != "" {
			wanted[f.Package] = append(wanted[f.Package], root(f.Over))
		}
	}
	all := make(figures)
	for _, pkg := range sortedKeys(wanted) {
		out, err := r.goTest("-run", "^$", "-bench", anyOf(wanted[pkg]), "-benchmem", "-benchtime", r.benchtime, pkg)
		if err != nil {
			return nil, err
		}
		if err := all.read(pkg, out); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// tests asks which of the listed tests exist.
func (r runner) tests(lines []TestBound) (listing, error) {
	wanted := make(map[string][]string)
	for _, t := range lines {
		wanted[t.Package] = append(wanted[t.Package], t.Test)
	}
	found := make(listing)
	for _, pkg := range sortedKeys(wanted) {
		out, err := r.goTest("-list", anyOf(wanted[pkg]), pkg)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(out)) {
			found[testKey{pkg, strings.TrimSpace(line)}] = true
		}
	}
	return found, nil
}

// read adds the figures of one package's output. Units are kept as printed.
func (all figures) read(pkg string, output []byte) error {
	reader := benchfmt.NewReader(bytes.NewReader(output), pkg)
	for reader.Scan() {
		switch rec := reader.Result().(type) {
		case *benchfmt.Result:
			all.add(pkg, rec)
		case *benchfmt.SyntaxError:
			return fmt.Errorf("output of go test: %w", rec)
		}
	}
	return reader.Err()
}

func (all figures) add(pkg string, r *benchfmt.Result) {
	name := plainName(r.Name)
	for _, v := range r.Values {
		k := key{pkg, name, v.Unit}
		value := v.Value
		if v.OrigUnit != "" {
			k.unit, value = v.OrigUnit, v.OrigValue
		}
		if old, ok := all[k]; !ok || value > old {
			all[k] = value
		}
	}
}

// plainName is a benchmark's name without the number of processors.
func plainName(n benchfmt.Name) string {
	base, parts := n.Parts()
	name := string(base)
	for _, p := range parts {
		if p[0] == '/' {
			name += string(p)
		}
	}
	return name
}

// root is the name of the function that a benchmark's name begins with.
func root(name string) string {
	function, _, _ := strings.Cut(name, "/")
	return "Benchmark" + function
}

// anyOf is a pattern that matches exactly the given names of functions.
func anyOf(names []string) string {
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
