package shiftcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/front/operator"
	"github.com/cardamomfront/cardamomfront/front/storage/shifts"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

const (
	// maxResponseBytes limits the size of an instance's response.
	maxResponseBytes = 4 << 20
	// statusCallTimeout limits a status request to one instance.
	statusCallTimeout = 2 * time.Second
)

// Report is the output of "shift status".
type Report struct {
	// Environment names the environment.
	Environment string `json:"environment"`
	// Movements are the shifts and drains, sorted by name.
	Movements []Movement `json:"movements"`
	// Unreachable are the instances that did not respond.
	Unreachable []UnreachableInstance `json:"silent,omitempty"`
}

// UnreachableInstance is an instance that did not respond.
type UnreachableInstance struct {
	operator.ListedInstance
	// Error is the error of the request.
	Error string `json:"error"`
}

// Movement is the known state of a shift or drain.
type Movement struct {
	// Name is the name of the shift or drain.
	Name string `json:"name"`
	// Recorded reports whether the table has a record of it.
	Recorded bool `json:"recorded"`
	// Record is its record in the table.
	Record shift.Record `json:"record"`
	// Events are its recorded steps, oldest first.
	Events []shifts.Event `json:"events"`
	// Shifts and Drains are the statuses from the instances. One of them is
	// empty.
	Shifts []shift.Status      `json:"shifts,omitempty"`
	Drains []shift.DrainStatus `json:"drains,omitempty"`
}

// buildReport reads the table and requests the statuses of all instances for a
// movement, or for all movements if name is empty. Errors: *NotFoundError, or
// those of the table.
func (s *Session) buildReport(ctx context.Context, name string) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	records, err := shifts.Records(ctx, s.Table, s.Environment)
	if err != nil {
		return nil, err
	}
	events, err := shifts.Events(ctx, s.Table, s.Environment)
	if err != nil {
		return nil, err
	}
	instances, err := s.listInstances(ctx)
	if err != nil {
		return nil, err
	}
	set := &movementSet{byName: make(map[string]*Movement), wanted: name}
	for _, r := range records {
		set.addRecord(r)
	}
	for _, e := range events {
		set.addEvent(e)
	}
	r := &Report{Environment: s.Environment}
	for i, response := range s.fetchStatuses(ctx, instances) {
		if response.err != nil {
			r.Unreachable = append(r.Unreachable, UnreachableInstance{ListedInstance: instances[i], Error: response.err.Error()})
			continue
		}
		set.addStatus(&response.status)
	}
	r.Movements = set.sorted()
	if name != "" && len(r.Movements) == 0 {
		return nil, &NotFoundError{Name: name}
	}
	return r, nil
}

// statusResponse is the response of one instance.
type statusResponse struct {
	status shifts.Status
	err    error
}

// fetchStatuses requests the statuses of all instances in parallel.
func (s *Session) fetchStatuses(ctx context.Context, instances []operator.ListedInstance) []statusResponse {
	responses := make([]statusResponse, len(instances))
	var wg sync.WaitGroup
	for i, instance := range instances {
		wg.Go(func() { responses[i].status, responses[i].err = s.fetchStatus(ctx, instance.Addr) })
	}
	wg.Wait()
	return responses
}

// fetchStatus requests the status of one instance.
func (s *Session) fetchStatus(ctx context.Context, addr string) (shifts.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusCallTimeout)
	defer cancel()
	var status shifts.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+shifts.StatusPath, http.NoBody)
	if err != nil {
		return status, err
	}
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return status, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return status, &operator.RefusedError{Addr: addr, Status: resp.StatusCode, Message: "no status of shifts"}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&status); err != nil {
		return status, fmt.Errorf("status of instance at %s: %w", addr, err)
	}
	return status, nil
}
