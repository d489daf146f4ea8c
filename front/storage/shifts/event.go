package shifts

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// Kind is the kind of a movement. A movement is a shift or a drain.
type Kind string

const (
	// KindShift is a shift of a service to another version.
	KindShift Kind = "shift"
	// KindDrain is a drain of a region.
	KindDrain Kind = "drain"
)

// Event is one step of a movement, as stored in the platform's table.
type Event struct {
	// At is when the step was taken, by the writer's clock.
	At time.Time `json:"at"`
	// Kind is the kind of the movement.
	Kind Kind `json:"kind"`
	// Name is the name of the movement's record.
	Name string `json:"name"`
	// Subject is the service of a shift or the region of a drain.
	Subject string `json:"subject"`
	// Record is the movement's record after the step.
	Record shift.Record `json:"record"`
}

// eventPrefix is the prefix of the keys of all events.
func eventPrefix(environment string) string { return environment + "/events/" }

// eventKey returns the key of an event. Keys sort by the time of the event.
func eventKey(environment string, e *Event) string {
	return fmt.Sprintf("%s%020d-%s", eventPrefix(environment), e.At.UnixNano(), e.Name)
}

// proposalWrites returns the writes that commit a proposal in one transaction:
// the record and, if the proposal is a step, its event.
func (m *Manager) proposalWrites(now time.Time, mv *movement, p shift.Proposal) ([]storage.Write, error) {
	record, err := json.Marshal(p.Record)
	if err != nil {
		return nil, fmt.Errorf("encode record of %s: %w", mv.name, err)
	}
	writes := []storage.Write{{
		Key:      recordKey(m.settings.Environment, mv.name),
		Expected: p.ExpectedVersion,
		Value:    record,
	}}
	if !p.Step {
		return writes, nil
	}
	event := &Event{At: now.UTC(), Kind: mv.kind, Name: mv.name, Subject: mv.subject, Record: p.Record}
	content, err := json.Marshal(event)
	if err != nil {
		return nil, fmt.Errorf("encode event of %s: %w", mv.name, err)
	}
	return append(writes, storage.Write{Key: eventKey(m.settings.Environment, event), Value: content}), nil
}
