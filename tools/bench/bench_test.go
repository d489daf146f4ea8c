package main

import (
	"os"
	"strings"
	"testing"
)

const benchmarkOutput = `goos: linux
pkg: example/limit
BenchmarkAllow-10         	     100	       125.1 ns/op	       0 B/op	       0 allocs/op
BenchmarkChoose/14-10     	     100	       100 ns/op	       0 allocs/op
BenchmarkChoose/1100-10   	     100	      2000 ns/op	       2 allocs/op
BenchmarkChoose/1100-10   	     100	      1500 ns/op	       1 allocs/op
PASS
`

func newFigureBound(benchmark, over, unit, bound string) FigureBound {
	f := FigureBound{Package: "./limit", Benchmark: benchmark, Over: over, Unit: unit, Target: "t", Reason: "r"}
	if err := f.Bound.UnmarshalYAML([]byte(bound)); err != nil {
		panic(err)
	}
	return f
}

func TestJudge(t *testing.T) {
	tests := []struct {
		desc    string
		line    FigureBound
		verdict Verdict
		figure  string
	}{
		{"at its bound", newFigureBound("Allow", "", "allocs/op", "0"), Kept, "0"},
		{"above its bound, the higher of two runs", newFigureBound("Choose/1100", "", "allocs/op", "1"), Missed, "2"},
		{"no bound", newFigureBound("Allow", "", "ns/op", "none"), Printed, "125.1"},
		{"ratio within its bound", newFigureBound("Choose/1100", "Choose/14", "ns/op", "20"), Kept, "20"},
		{"ratio above its bound", newFigureBound("Choose/1100", "Choose/14", "ns/op", "19"), Missed, "20"},
		{"ratio to zero", newFigureBound("Choose/1100", "Choose/14", "allocs/op", "19"), NoFigure, "-"},
		{"unknown benchmark", newFigureBound("Gone", "", "ns/op", "none"), NoFigure, "-"},
		{"unknown unit", newFigureBound("Allow", "", "ratio", "2"), NoFigure, "-"},
	}
	r := runner{goTest: func(...string) ([]byte, error) { return []byte(benchmarkOutput), nil }}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			measured, err := r.runBenchmarks([]FigureBound{tt.line})
			if err != nil {
				t.Fatal(err)
			}
			got := judge(Bounds{Figures: []FigureBound{tt.line}}, measured, nil)
			if got[0].verdict != tt.verdict || got[0].figure != tt.figure {
				t.Errorf("got %s with figure %s, want %s with %s", got[0].verdict, got[0].figure, tt.verdict, tt.figure)
			}
			wantErr := tt.verdict != Kept && tt.verdict != Printed
			if err := got.err(); (err != nil) != wantErr {
				t.Errorf("got error %v, want an error: %v", err, wantErr)
			}
		})
	}
}

func TestListedTestsExist(t *testing.T) {
	lines := []TestBound{{"./limit", "TestThere", "t"}, {"./limit", "TestGone", "t"}}
	r := runner{goTest: func(...string) ([]byte, error) { return []byte("TestThere\nok\n"), nil }}
	found, err := r.findTests(lines)
	if err != nil {
		t.Fatal(err)
	}
	got := judge(Bounds{Tests: lines}, nil, found)
	if got[0].verdict != InTests || got[1].verdict != NoTest || got.err() == nil {
		t.Errorf("got %+v, error %v", got, got.err())
	}
}

func TestDecodeRefuses(t *testing.T) {
	const named = "figures: [{package: p, benchmark: b, unit: u, "
	tests := []struct{ desc, content, want string }{
		{"a bound without a target", named + "bound: 1, reason: r}]", "target"},
		{"no bound without a reason", named + "bound: none, target: t}]", "reason"},
		{"neither a bound nor none", named + "target: t}]", "reason"},
		{"a bound that is not a number", named + "bound: few, target: t}]", "few"},
		{"an unknown field", named + "bound: 1, target: t, atMost: 2}]", "atMost"},
		{"a figure without a unit", "figures: [{package: p, benchmark: b, bound: 1, target: t}]", "unit"},
		{"a test without a target", "tests: [{package: p, test: t}]", "target"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if _, err := decode([]byte(tt.content)); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one with %q", err, tt.want)
			}
		})
	}
}

func TestCommittedBounds(t *testing.T) {
	content, err := os.ReadFile("../../bench/bounds.yaml")
	if err != nil {
		t.Fatal(err)
	}
	b, err := decode(content)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range forCI(b.Figures) {
		if f.Bound.Set && strings.HasPrefix(f.Unit, "ns/") {
			t.Errorf("%s: times depend on the machine and can't be bounded in CI", f.name())
		}
	}
}
