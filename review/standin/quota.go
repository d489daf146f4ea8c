package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// The team's quota, and the users' bounds of it.
const (
	ratePerS     = 30.0
	burst        = 30.0
	quotaWindow  = 5 * time.Second
	quotaExcess  = 0.1
	quotaSlack   = 20.0
	usualPerS    = ratePerS / 1.6
	hotFactor    = 8
	quietFor     = 6 * time.Second
	hotFor       = 9 * time.Second
	firstKill    = 3 * time.Second // after the team began to send more
	downFor      = 500 * time.Millisecond
	trackerCount = 14
)

// runQuotaKills lets a team send eight times its usual rate while all gateways are
// killed and restarted twice.
func runQuotaKills(w *world, trouble bool) error {
	if err := w.serveStore(); err != nil {
		return err
	}
	err := w.store.Set("op", "config", map[string]any{
		"version": "00000001",
		"routes": []any{map[string]any{
			"name": "status", "host": host, "prefix": "/status/", "routeType": "safe", "timeoutS": 2.5, "aimS": 0.6,
			"priority": 1, "service": "tracker", "attempts": 2, "sessionAffinity": true,
		}},
		"services": []any{map[string]any{"name": "tracker", "healthPath": "/healthz", "maxConns": 330, "coldStartS": 3, "coldPerS": 2.5}},
		"tenants":  []any{map[string]any{"name": team, "apiKeys": []string{key}, "ratePerS": ratePerS, "burst": burst}},
	})
	if err != nil {
		return err
	}
	for i := range trackerCount {
		e := &endpoint{id: fmt.Sprintf("i-tracker-%02d", i), service: "tracker", zone: gatewayZones[i%len(gatewayZones)], version: "v1", slots: 3, work: 150 * time.Millisecond}
		if _, err := w.startEndpoint(e); err != nil {
			return err
		}
	}
	if err := w.startGateways(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	c := newCallers(w, http.MethodGet, "/status/", 0, 4*time.Second)
	c.send(usualPerS, time.Now().Add(quietFor))
	hotAt := time.Now()
	w.note("the team sends %d times its usual", hotFactor)
	failed := make(chan error, 1)
	go func() { failed <- w.killTwice(hotAt, trouble) }()
	c.send(usualPerS*hotFactor, hotAt.Add(hotFor))
	c.pending.Wait()
	if err := <-failed; err != nil {
		return err
	}
	return w.checkQuota()
}

// killTwice kills all gateways twice and restarts them.
func (w *world) killTwice(hotAt time.Time, trouble bool) error {
	if !trouble {
		return nil
	}
	for _, after := range []time.Duration{firstKill} {
		time.Sleep(time.Until(hotAt.Add(after)))
		w.note("all gateways are killed")
		w.killAll()
		time.Sleep(downFor)
		if err := w.startAll(false); err != nil {
			return err
		}
		w.note("all gateways are ready again")
	}
	return nil
}

// checkQuota finds the window in which most requests were both sent and run.
func (w *world) checkQuota() error {
	runs, sent := w.record.allRuns()
	bound := (ratePerS*quotaWindow.Seconds()+burst)*(1+quotaExcess) + quotaSlack
	slices.SortFunc(runs, func(a, b run) int { return sent[a.id].Compare(sent[b.id]) })
	most, at := 0, time.Time{}
	for i := range runs {
		from, n := sent[runs[i].id], 0
		for _, x := range runs[i:] {
			if x.arrived.Sub(from) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, from
		}
	}
	w.note("most requests sent and run in %s: %d from %.3f s on, allowed %.0f; %d sent, %d run", quotaWindow, most, at.Sub(w.record.start).Seconds(), bound, len(sent), len(runs))
	fmt.Printf("%d of %.0f allowed\n", most, bound)
	if float64(most) > bound {
		return errBroken
	}
	return nil
}
