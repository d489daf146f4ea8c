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
	// maxAnswer bounds an instance's answer, in bytes.
	maxAnswer = 4 << 20
	// askTimeout bounds the question to one instance.
	askTimeout = 2 * time.Second
)

// Report is the output of "shift status".
type Report struct {
	// Environment names the environment.
	Environment string `json:"environment"`
	// Movements are the shifts and drains, by name.
	Movements []Movement `json:"movements"`
	// Unreachable are the instances that gave no answer.
	Unreachable []UnreachableInstance `json:"silent,omitempty"`
}

// UnreachableInstance is an instance that gave no answer.
type UnreachableInstance struct {
	operator.ListedInstance
	// Error says why.
	Error string `json:"error"`
}

// Movement is what is known of one shift or drain.
type Movement struct {
	// Name names it.
	Name string `json:"name"`
	// Recorded says that the table has a record of it.
	Recorded bool `json:"recorded"`
	// Record is what the table says.
	Record shift.Record `json:"record"`
	// Events are its steps, oldest first.
	Events []shifts.Event `json:"events"`
	// Shifts and Drains are what the instances say; one of them is empty.
	Shifts []shift.Status      `json:"shifts,omitempty"`
	Drains []shift.DrainStatus `json:"drains,omitempty"`
}

// gather asks the table and all instances about a movement, or about all if
// name is empty. Errors: *UnknownError, or those of the table.
func (a *Session) gather(ctx context.Context, name string) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	recorded, err := shifts.Records(ctx, a.Table, a.Environment)
	if err != nil {
		return nil, err
	}
	events, err := shifts.Events(ctx, a.Table, a.Environment)
	if err != nil {
		return nil, err
	}
	listed, err := a.roster(ctx)
	if err != nil {
		return nil, err
	}
	c := &collection{named: make(map[string]*Movement), wanted: name}
	for _, r := range recorded {
		c.addRecord(r)
	}
	for _, e := range events {
		c.addEvent(e)
	}
	r := &Report{Environment: a.Environment}
	for i, answer := range a.askAll(ctx, listed) {
		if answer.err != nil {
			r.Unreachable = append(r.Unreachable, UnreachableInstance{ListedInstance: listed[i], Error: answer.err.Error()})
			continue
		}
		c.addStatus(&answer.status)
	}
	r.Movements = c.sorted()
	if name != "" && len(r.Movements) == 0 {
		return nil, &NotFoundError{Name: name}
	}
	return r, nil
}

// answer is what one instance said.
type answer struct {
	status shifts.Status
	err    error
}

// askAll asks all instances at the same time.
func (a *Session) askAll(ctx context.Context, listed []operator.ListedInstance) []answer {
	answers := make([]answer, len(listed))
	var asked sync.WaitGroup
	for i, l := range listed {
		asked.Go(func() { answers[i].status, answers[i].err = a.ask(ctx, l.Addr) })
	}
	asked.Wait()
	return answers
}

// ask asks one instance.
func (a *Session) ask(ctx context.Context, addr string) (shifts.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var s shifts.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+shifts.StatusPath, http.NoBody)
	if err != nil {
		return s, err
	}
	resp, err := a.HTTP.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, &operator.RefusedError{Addr: addr, Status: resp.StatusCode, Message: "no status of shifts"}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&s); err != nil {
		return s, fmt.Errorf("status of instance at %s: %w", addr, err)
	}
	return s, nil
}
