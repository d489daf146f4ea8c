package main

import (
	_ "embed" // for the manifest
	"fmt"
	"net/http"
	"slices"
	"time"
)

//go:embed quota-manifest.json
var quotaManifest []byte

// The team's quota, as in the manifest, and the users' bounds of it.
const (
	ratePerS    = 30.0
	burst       = 30.0
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20.0
)

// The load and the kill.
const (
	trackerCount = 14
	trackerWork  = 150 * time.Millisecond
	usualPerS    = ratePerS / 1.6
	hotFactor    = 8
	quietFor     = 6 * time.Second
	hotFor       = 9 * time.Second
	killAfter    = 2500 * time.Millisecond // since the team began to send more
	downFor      = 500 * time.Millisecond
)

// runQuotaKill lets a team send eight times its usual rate while all gateways are
// killed and restarted once.
func runQuotaKill(w *world, trouble bool) error {
	if err := w.serveStore(quotaManifest); err != nil {
		return err
	}
	es, err := w.startEndpoints("tracker", "v1", trackerCount, trackerWork, 0)
	if err != nil {
		return err
	}
	defer es.stop()
	if err := w.startGateways(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	c := newCallers(w, http.MethodGet, "/status/", 0, 4*time.Second)
	c.send(usualPerS, time.Now().Add(quietFor))
	hotAt := time.Now()
	w.note("the team sends %d times its usual", hotFactor)
	restarted := make(chan error, 1)
	go func() { restarted <- w.killOnce(hotAt.Add(killAfter), trouble) }()
	c.send(usualPerS*hotFactor, hotAt.Add(hotFor))
	c.pending.Wait()
	if err := <-restarted; err != nil {
		return err
	}
	return w.checkQuota()
}

// killOnce kills all gateways at a time and restarts them.
func (w *world) killOnce(at time.Time, trouble bool) error {
	if !trouble {
		return nil
	}
	time.Sleep(time.Until(at))
	w.note("all gateways are killed")
	w.killAll()
	time.Sleep(downFor)
	if err := w.startAll(false); err != nil {
		return err
	}
	w.note("all gateways are ready again")
	return nil
}

// checkQuota finds the window in which most requests were both sent and answered by
// an endpoint, which is at most the number of those that were sent and arrived there.
func (w *world) checkQuota() error {
	outcomes, sent := w.record.allOutcomes()
	ran := slices.DeleteFunc(outcomes, func(o outcome) bool { return !o.ranAt("v1") })
	bound := (ratePerS*quotaWindow.Seconds()+burst)*(1+quotaExcess) + quotaSlack
	most, at := 0, time.Time{}
	for _, first := range ran {
		n := 0
		for _, o := range ran {
			if !o.sent.Before(first.sent) && o.answered.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	w.note("most requests sent and run in %s: %d from %.3f s on, allowed %.0f; %d sent, %d run", quotaWindow, most, at.Sub(w.record.start).Seconds(), bound, sent, len(ran))
	fmt.Printf("%d requests in %s, allowed %.0f\n", most, quotaWindow, bound)
	if float64(most) > bound {
		return errBroken
	}
	return nil
}
