// Command bench runs the benchmarks that a bounds file names and prints for
// each figure its name, value, bound and verdict. It exits with 1 when a
// figure misses its bound, when a listed benchmark gave no figure, or when a
// listed test does not exist.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
)

// options are the command's flags.
type options struct {
	bounds    string // path of the bounds file
	benchtime string // as for go test: a time, or a count as in 2000x
	ci        bool   // leave out what the bounds file keeps from CI
}

func main() {
	o := options{}
	flag.StringVar(&o.bounds, "bounds", "bench/bounds.yaml", "file with the bounds")
	flag.StringVar(&o.benchtime, "benchtime", "1s", "length of each benchmark, as for go test")
	flag.BoolVar(&o.ci, "ci", false, "run only what is bounded or to be printed in CI")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	content, err := os.ReadFile(o.bounds)
	if err != nil {
		return err
	}
	bounds, err := decode(content)
	if err != nil {
		return fmt.Errorf("%s: %w", o.bounds, err)
	}
	if o.ci {
		bounds.Figures = forCI(bounds.Figures)
	}
	r := runner{benchtime: o.benchtime, goTest: goTest}
	figures, err := r.runBenchmarks(bounds.Figures)
	if err != nil {
		return err
	}
	existing, err := r.findTests(bounds.Tests)
	if err != nil {
		return err
	}
	t := judge(bounds, figures, existing)
	if err := t.print(os.Stdout); err != nil {
		return err
	}
	return t.err()
}

// goTest runs go test with args and returns what it wrote to its standard
// output. The go command's own messages go to standard error.
func goTest(args ...string) ([]byte, error) {
	cmd := exec.Command("go", append([]string{"test"}, args...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("%s: %w\n%s", cmd, err, out)
	}
	return out, nil
}
