package shift

import (
	"maps"
	"slices"
	"strings"
)

// Signal is the property by which requests are judged.
type Signal string

const (
	// Errors judges by failed requests.
	Errors Signal = "errors"
	// Latency judges by requests that are slower than most of the old
	// version's.
	Latency Signal = "latency"
)

// Scope selects the requests that a Tally compares. Either Route or Domain is
// set.
type Scope struct {
	// Signal is the signal that is compared.
	Signal Signal `json:"signal"`
	// Route limits the scope to one route.
	Route string `json:"route,omitempty"`
	// Domain limits the scope to endpoints of one failure domain.
	Domain string `json:"domain,omitempty"`
}

// String describes the scope for operators.
func (s Scope) String() string {
	parts := []string{string(s.Signal)}
	if s.Route != "" {
		parts = append(parts, "on route "+s.Route)
	}
	if s.Domain != "" {
		parts = append(parts, "in failure domain "+s.Domain)
	}
	return strings.Join(parts, " ")
}

// cause returns the cause of a rollback on evidence in this scope.
func (s Scope) cause() Cause {
	if s.Signal == Latency {
		return CauseLatency
	}
	return CauseErrors
}

// scopesOf returns the scopes of outcomes on a route in a failure domain.
// Outcomes without a failure domain belong only to the scope of their route.
func scopesOf(signal Signal, route, domain string) []Scope {
	scopes := []Scope{{Signal: signal, Route: route}}
	if domain != "" {
		scopes = append(scopes, Scope{Signal: signal, Domain: domain})
	}
	return scopes
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
