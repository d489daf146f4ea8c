// Package hangup subscribes to SIGHUP when the package is initialized, before
// main runs. A SIGHUP that arrives without a subscription ends the process.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// C receives the SIGHUP signals sent to this process.
var C = subscribe()

func subscribe() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
