package shift

import (
	"maps"
	"slices"
	"strings"
)

// Signal is what requests are judged by.
type Signal string

const (
	// Errors judges by failed requests.
	Errors Signal = "errors"
	// Latency judges by requests slower than most of the old version's.
	Latency Signal = "latency"
)

// Scope is the part of the requests that a Tally compares. Either Route or
// Domain is set.
type Scope struct {
	// Signal is what is compared.
	Signal Signal `json:"signal"`
	// Route limits the scope to one route.
	Route string `json:"route,omitempty"`
	// Domain limits the scope to endpoints of one failure domain.
	Domain string `json:"domain,omitempty"`
}

// String names the scope for operators.
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

// cause returns the reason for a take-back on evidence of this scope.
func (s Scope) cause() Cause {
	if s.Signal == Latency {
		return CauseLatency
	}
	return CauseErrors
}

// scopesOf returns the scopes that a cell's outcomes belong to. Outcomes without a
// failure domain belong to their route's only.
func scopesOf(signal Signal, route, domain string) []Scope {
	scopes := []Scope{{Signal: signal, Route: route}}
	if domain != "" {
		scopes = append(scopes, Scope{Signal: signal, Domain: domain})
	}
	return scopes
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
