// Package share divides a counted resource, such as a team's quota, among
// instances. It computes who should hold how much, which moves lead there, and
// how much one instance may use at a time.
//
// A Division is the content of a row in the store; its holdings never sum to more
// than the whole resource. An Account is one instance's view of its own share:
// what it owns, what it has reserved for a transfer, and what it has lent or
// borrowed for a short time. Units always leave one instance before another may
// use them, so the units in use never sum to more than the whole.
package share

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Units counts fractions of a resource. The whole resource is TotalUnits.
type Units int64

// TotalUnits is the number of units that a resource is divided into.
const TotalUnits Units = 10_000

// Holding is the share of one instance.
type Holding struct {
	// Instance is the name of the member that holds the units.
	Instance string `json:"instance"`
	// Units is the number of units held, above 0.
	Units Units `json:"units"`
}

// Division assigns the units of a resource to instances. Units that nobody holds
// are free. In the zero value all units are free.
type Division struct {
	// Holdings are ordered by instance name.
	Holdings []Holding `json:"holdings"`
}

// InvalidDivisionError means that a division is malformed or inconsistent.
type InvalidDivisionError struct {
	// Reason describes the fault.
	Reason string
}

// Error implements error.
func (e *InvalidDivisionError) Error() string { return "invalid division: " + e.Reason }

// Encode returns the division as row content. Errors: *InvalidDivisionError.
func (d Division) Encode() ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(d)
}

// DecodeDivision parses row content. Errors: *InvalidDivisionError.
func DecodeDivision(content []byte) (Division, error) {
	var d Division
	if err := json.Unmarshal(content, &d); err != nil {
		return Division{}, &InvalidDivisionError{Reason: err.Error()}
	}
	return d, d.Validate()
}

// Validate returns an *InvalidDivisionError unless all holdings are above 0,
// ordered by instance, without duplicates, and sum to at most TotalUnits.
func (d Division) Validate() error {
	last := ""
	for _, h := range d.Holdings {
		if h.Units <= 0 || h.Instance <= last {
			return &InvalidDivisionError{Reason: fmt.Sprintf("holding of %q is empty, duplicate or out of order", h.Instance)}
		}
		last = h.Instance
	}
	if sum := d.Sum(); sum > TotalUnits {
		return &InvalidDivisionError{Reason: fmt.Sprintf("%d units held, more than the total of %d", sum, TotalUnits)}
	}
	return nil
}

// Sum returns the total of the units held.
func (d Division) Sum() Units {
	var sum Units
	for _, h := range d.Holdings {
		sum += h.Units
	}
	return sum
}

// Free returns the units that nobody holds.
func (d Division) Free() Units { return TotalUnits - d.Sum() }

// UnitsOf returns the units that an instance holds.
func (d Division) UnitsOf(instance string) Units {
	for _, h := range d.Holdings {
		if h.Instance == instance {
			return h.Units
		}
	}
	return 0
}

// Move takes units from one instance to another. An empty name stands for the
// free units.
type Move struct {
	From  string
	To    string
	Units Units
}

// Apply returns the division after the moves. Errors: *InvalidDivisionError if an
// instance holds fewer units than a move takes.
func (d Division) Apply(moves []Move) (Division, error) {
	held := make(map[string]Units, len(d.Holdings)+1)
	for _, h := range d.Holdings {
		held[h.Instance] = h.Units
	}
	held[""] = d.Free()
	for _, m := range moves {
		if m.Units < 0 || held[m.From] < m.Units {
			return Division{}, &InvalidDivisionError{Reason: fmt.Sprintf("%q holds fewer than %d units", m.From, m.Units)}
		}
		held[m.From] -= m.Units
		held[m.To] += m.Units
	}
	delete(held, "")
	return newDivision(held), nil
}

func newDivision(held map[string]Units) Division {
	var d Division
	for instance, units := range held {
		if units > 0 {
			d.Holdings = append(d.Holdings, Holding{Instance: instance, Units: units})
		}
	}
	slices.SortFunc(d.Holdings, func(a, b Holding) int { return strings.Compare(a.Instance, b.Instance) })
	return d
}
