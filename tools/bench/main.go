// Command bench runs the benchmarks listed in a bounds file and prints the
// name, value, bound and verdict of each figure. It exits with status 1 if a
// figure exceeds its bound, a listed benchmark does not report its figure, or a
// listed test does not exist.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
)

// options holds the values of the command-line flags.
type options struct {
	bounds    string // path of the bounds file
	benchtime string // as for go test: a duration, or an iteration count such as 2000x
	ci        bool   // skip figures that have no bound and are not marked with ci
}

func main() {
	o := options{}
	flag.StringVar(&o.bounds, "bounds", "bench/bounds.yaml", "path of the bounds file")
	flag.StringVar(&o.benchtime, "benchtime", "1s", "duration or iteration count of each benchmark, as for go test")
	flag.BoolVar(&o.ci, "ci", false, "run only the benchmarks whose figures are checked or printed in CI")
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

// goTest runs go test with args and returns its standard output. Its standard
// error is passed through, so that messages of the go command stay visible.
func goTest(args ...string) ([]byte, error) {
	cmd := exec.Command("go", append([]string{"test"}, args...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("%s: %w\n%s", cmd, err, out)
	}
	return out, nil
}
