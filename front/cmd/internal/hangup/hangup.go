// Package hangup takes over SIGHUP before anything else of a process is set up:
// until then one ends the process.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// C carries the SIGHUPs that this process gets.
var C = subscribe()

func subscribe() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
