// Package share divides a counted resource among instances: who holds how much
// of it, where it should move, and what one instance may use at a time.
//
// A Division is what the platform's table keeps: its holdings never sum to
// more than the whole. An Account is what one instance knows of its own part:
// what it owns, what it has set aside to give away, and what it has lent or
// borrowed for a short time. A part always leaves its holder before another
// may use it, so that the parts in use never sum to more than the whole.
package share

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Units counts parts of a resource. The whole resource is Whole units.
type Units int64

// TotalUnits is the number of units that a resource is divided into.
const TotalUnits Units = 10_000

// Holding is the part of one instance.
type Holding struct {
	// Instance names the member that holds the part.
	Instance string `json:"instance"`
	// Units is the size of the part, above 0.
	Units Units `json:"units"`
}

// Division says who holds which part of a resource. Units that nobody holds
// are free. The zero value is a division with all units free.
type Division struct {
	// Holdings are in the order of the instances' names.
	Holdings []Holding `json:"holdings"`
}

// InvalidDivisionError says that a division breaks its rules.
type InvalidDivisionError struct {
	// Reason says which rule.
	Reason string
}

// Error implements error.
func (e *InvalidDivisionError) Error() string { return "division: " + e.Reason }

// Encode returns the row's content. Errors: *InvalidDivisionError.
func (d Division) Encode() ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(d)
}

// DecodeDivision reads a row's content. Errors: *InvalidDivisionError.
func DecodeDivision(content []byte) (Division, error) {
	var d Division
	if err := json.Unmarshal(content, &d); err != nil {
		return Division{}, &InvalidDivisionError{Reason: err.Error()}
	}
	return d, d.Validate()
}

// Validate returns an *InvalidDivisionError unless all holdings are above 0, in
// order, without repeats, and sum to at most Whole.
func (d Division) Validate() error {
	last := ""
	for _, h := range d.Holdings {
		if h.Units <= 0 || h.Instance <= last {
			return &InvalidDivisionError{Reason: fmt.Sprintf("holding of %q out of order or empty", h.Instance)}
		}
		last = h.Instance
	}
	if sum := d.Sum(); sum > TotalUnits {
		return &InvalidDivisionError{Reason: fmt.Sprintf("%d units held of %d", sum, TotalUnits)}
	}
	return nil
}

// Sum returns the units that are held.
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

// Move takes units from one holder to another. An empty name stands for the
// free units.
type Move struct {
	From  string
	To    string
	Units Units
}

// Apply returns the division after the moves. Errors: *InvalidDivisionError
// when a holder has too little.
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
