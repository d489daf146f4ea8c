package main

import (
	_ "embed" // for the manifest
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

//go:embed rollout-manifest.json
var rolloutManifest []byte

// The rollout, and the users' bounds of it.
const (
	intakeCount    = 12
	intakeWork     = 400 * time.Millisecond
	uploadsPerS    = 6.7
	uploadBytes    = 60_000
	uploadDeadline = 5 * time.Second
	rolloutFor     = 16 * time.Second
	badShare       = 0.2
	badAnswers     = 50
	rollbackIn     = 5 * time.Second
	drainFor       = 3 * time.Second
	coldFor        = 3 * time.Second
	longestRun     = 100 * time.Second
)

// runBadVersion rolls a version out that answers a fifth of its requests with an
// error.
func runBadVersion(w *world, trouble bool) error {
	if err := w.serveStore(rolloutManifest); err != nil {
		return err
	}
	old, err := w.startEndpoints("intake", "v1", intakeCount, intakeWork, 0)
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

// operate orders the rollout and acts on its result as the users' operator does.
func (w *world) operate(old *endpoints, trouble bool) {
	share := 0.0
	if trouble {
		share = badShare
	}
	updated, err := w.startEndpoints("intake", "v2", intakeCount, intakeWork, share)
	if err != nil {
		w.note("v2 did not start: %v", err)
		return
	}
	time.Sleep(coldFor) // the new endpoints are no longer cold
	order := map[string]any{"service": "intake", "to": "v2", "durationS": rolloutFor.Seconds()}
	if err := w.store.Set("op", "rollout/intake", order); err != nil {
		w.note("the rollout was not ordered: %v", err)
		return
	}
	w.note("rollout of v2 ordered")
	state := ""
	for state == "" || state == stateRunning {
		time.Sleep(50 * time.Millisecond)
		state = w.rolloutState()
	}
	w.note("rollout ended: %s", state)
	if state == stateCompleted {
		old.stop()
		return
	}
	updated.drain()
	time.Sleep(drainFor)
	updated.stop()
}

// States of a rollout.
const (
	stateRunning   = "running"
	stateCompleted = "completed"
)

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
	outcomes, _ := w.record.allOutcomes()
	var bad []time.Time
	for _, o := range outcomes {
		if o.ranAt("v2") && o.status != http.StatusOK {
			bad = append(bad, o.answered)
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
	outcomes, _ := w.record.allOutcomes()
	late := 0
	for _, o := range outcomes {
		if o.ranAt("v2") && o.sent.Sub(bad[badAnswers-1]) > rollbackIn {
			late++
		}
	}
	return late
}
