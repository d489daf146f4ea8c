package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// The rollout, and the users' bounds of it.
const (
	intakeCount    = 12
	uploadsPerS    = 6.7
	uploadBytes    = 60_000
	uploadDeadline = 5 * time.Second
	rolloutFor     = 16 * time.Second
	badShare       = 0.2
	badAnswers     = 50
	rollbackIn     = 5 * time.Second
	drainFor       = 3 * time.Second
	longestRun     = 95 * time.Second
)

// runBadVersion rolls a version out that answers a fifth of its requests with an
// error.
func runBadVersion(w *world, trouble bool) error {
	if err := w.serveStore(); err != nil {
		return err
	}
	err := w.store.Set("op", "config", map[string]any{
		"version": "00000001",
		"routes": []any{map[string]any{
			"name": "upload", "host": host, "prefix": "/upload/", "routeType": "upload", "timeoutS": 5, "aimS": 0.8,
			"priority": 1, "service": "intake", "attempts": 2, "sessionAffinity": true,
		}},
		"services": []any{map[string]any{"name": "intake", "healthPath": "/healthz", "maxConns": 330, "coldStartS": 3, "coldPerS": 2.5}},
		"tenants":  []any{map[string]any{"name": team, "apiKeys": []string{key}, "ratePerS": 0, "burst": 0}},
	})
	if err != nil {
		return err
	}
	old, err := w.startVersion("v1", 0)
	if err != nil {
		return err
	}
	if err := w.startGateways(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	c := newCallers(w, http.MethodPost, "/upload/", uploadBytes, uploadDeadline)
	begin := time.Now()
	go func() {
		time.Sleep(2 * time.Second)
		w.operate(old, trouble)
	}()
	for time.Since(begin) < longestRun && w.lateRequests() == 0 {
		c.send(uploadsPerS, time.Now().Add(time.Second))
	}
	c.pending.Wait()
	late := w.lateRequests()
	w.note("%d requests reached v2 that were sent later than %s after its %dth bad answer; %d of its answers were bad", late, rollbackIn, badAnswers, len(w.badAnswers()))
	fmt.Printf("%d late requests at v2, %d bad answers\n", late, len(w.badAnswers()))
	if late > 0 {
		return errBroken
	}
	return nil
}

// startVersion starts all endpoints of a version of the service.
func (w *world) startVersion(version string, errorShare float64) ([]*endpoint, error) {
	var all []*endpoint
	for i := range intakeCount {
		e, err := w.startEndpoint(&endpoint{
			id: fmt.Sprintf("i-%s-%02d", version, i), service: "intake", zone: gatewayZones[i%len(gatewayZones)],
			version: version, slots: 3, work: 400 * time.Millisecond, errorShare: errorShare,
		})
		if err != nil {
			return nil, err
		}
		all = append(all, e)
	}
	return all, nil
}

// operate orders the rollout and acts on its result as the users' operator does.
func (w *world) operate(old []*endpoint, trouble bool) {
	share := 0.0
	if trouble {
		share = badShare
	}
	updated, err := w.startVersion("v2", share)
	if err != nil {
		w.note("v2 did not start: %v", err)
		return
	}
	order := map[string]any{"service": "intake", "to": "v2", "durationS": rolloutFor.Seconds()}
	if err := w.store.Set("op", "rollout/intake", order); err != nil {
		w.note("the rollout was not ordered: %v", err)
		return
	}
	w.note("rollout of v2 ordered")
	for {
		time.Sleep(50 * time.Millisecond)
		switch w.rolloutState() {
		case "completed":
			w.note("rollout completed, v1 stops")
			for _, e := range old {
				e.stop()
			}
			return
		case "rolled_back":
			w.note("rollout rolled back, v2 drains")
			for _, e := range updated {
				e.setState("draining")
			}
			time.Sleep(drainFor)
			for _, e := range updated {
				e.stop()
			}
			return
		}
	}
}

// rolloutState returns the state that the system has recorded.
func (w *world) rolloutState() string {
	row, ok := w.store.Get("status", "rollout/intake")
	if !ok {
		return ""
	}
	var status struct {
		State string `json:"state"`
	}
	if json.Unmarshal(row.Value, &status) != nil {
		return ""
	}
	return status.State
}

// badAnswers returns the times of the errors of v2, in order.
func (w *world) badAnswers() []time.Time {
	runs, _ := w.record.allRuns()
	var bad []time.Time
	for _, x := range runs {
		if x.version == "v2" && x.status != http.StatusOK {
			bad = append(bad, x.ended)
		}
	}
	slices.SortFunc(bad, time.Time.Compare)
	return bad
}

// lateRequests returns the number of requests at v2 that were sent too late.
func (w *world) lateRequests() int {
	bad := w.badAnswers()
	if len(bad) < badAnswers {
		return 0
	}
	runs, sent := w.record.allRuns()
	late := 0
	for _, x := range runs {
		if x.version == "v2" && sent[x.id].Sub(bad[badAnswers-1]) > rollbackIn {
			late++
		}
	}
	return late
}
