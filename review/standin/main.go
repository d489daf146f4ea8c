// Command standin plays the users' platform for the cases in review: the store,
// endpoints, an operator and callers. It starts the gateways as separate processes,
// writes a record of what was sent, answered and run, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	name := flag.String("case", "", "quota-kill or bad-version")
	binary := flag.String("binary", "target/cardamomfront", "gateway program")
	recordFile := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "inject the disruption")
	flag.Parse()
	cases := map[string]func(*world, bool) error{"quota-kill": runQuotaKill, "bad-version": runBadVersion}
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	os.Exit(play(run, *binary, *recordFile, *trouble))
}

// play runs a case and returns the exit code.
func play(run func(*world, bool) error, binary, recordFile string, trouble bool) int {
	file, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path, err := filepath.Abs(binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := newWorld(path, dir)
	defer w.stopAll()
	// A closed output must not end the process before the gateways have ended.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- run(w, trouble) }()
	select {
	case err = <-ended:
	case s := <-stop:
		err = fmt.Errorf("stopped by signal %v", s)
	}
	w.record.writeTo(file)
	fmt.Fprintf(file, "trouble %t, took %.1f s, result: %v\n", trouble, time.Since(w.start).Seconds(), err)
	fmt.Printf("trouble %t: %v\n", trouble, err)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errBroken):
		return 1
	}
	return 2
}
