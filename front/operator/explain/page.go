// Package explain says why requests of a team or on a route are refused at an
// instance and where they go.
package explain

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/front/caller"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// Path is the page on an instance's operator listener. Its query names a team
// or a route.
const Path = "/explain"

// Explanation is the body of the page.
type Explanation struct {
	// Generation is the generation in force at the instance.
	Generation uint64 `json:"generation"`
	// WindowSeconds is the time that Outcomes covers, at least.
	WindowSeconds int `json:"windowSeconds"`
	// Team is set when the query names a team.
	Team *Team `json:"team,omitempty"`
	// Route is set when the query names a route.
	Route *Route `json:"route,omitempty"`
	// Outcomes are recent outcomes, the most frequent first.
	Outcomes []caller.RecentOutcome `json:"outcomes"`
}

// Team is what the document says of a team.
type Team struct {
	// Name is the team's name.
	Name string `json:"name"`
	// Rate is its rate over all instances, with its unit.
	Rate string `json:"rate"`
	// Burst is its burst over all instances, in requests.
	Burst int `json:"burst"`
	// Keys is the number of keys in force.
	Keys int `json:"keys"`
}

// Route is where a route's requests go.
type Route struct {
	// Name is the route's name.
	Name string `json:"name"`
	// Service is the service that answers.
	Service string `json:"service"`
	// Serving is the version that serves while no shift is on.
	Serving string `json:"serving"`
	// Shift names the shift on the service, if any.
	Shift string `json:"shift,omitempty"`
	// Endpoints are the endpoints of the service's versions.
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one endpoint as the instance sees it.
type Endpoint struct {
	// Address is the endpoint's address.
	Address string `json:"address"`
	// Version is the version that it runs.
	Version string `json:"version"`
	// FailureDomain is where it runs.
	FailureDomain string `json:"failureDomain"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// State is the instance's view of the endpoint.
	State string `json:"state"`
}

// EndpointExplainer says how an instance sees an endpoint. *broker.Service implements it.
type EndpointExplainer interface {
	// Explain describes an endpoint of a group in a few words.
	Explain(g slots.Group, address string, now time.Time) string
}

// Handler answers explanations at one instance.
type Handler struct {
	// Snapshots gives the document in force.
	Snapshots configuration.Source
	// Recent holds the latest outcomes.
	Recent *caller.Recent
	// Slots tells the states of endpoints.
	Slots EndpointExplainer
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := h.Snapshots.Current()
	if !snapshot.Ready {
		http.Error(w, "no document is in force here yet", http.StatusServiceUnavailable)
		return
	}
	now := time.Now()
	team, route := r.URL.Query().Get("team"), r.URL.Query().Get("route")
	explanation := Explanation{
		Generation:    snapshot.Head.Generation,
		WindowSeconds: int(caller.RecentWindow.Seconds()),
		Outcomes:      h.Recent.Outcomes(now, team, route),
	}
	if team != "" {
		explanation.Team = teamByName(snapshot.Index, team)
	}
	if route != "" {
		explanation.Route = h.routeByName(snapshot.Index, route, now)
	}
	if team != "" && explanation.Team == nil || route != "" && explanation.Route == nil {
		http.Error(w, "the document in force has no such team or route", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(explanation)
}

// teamByName returns a team by its name, or nil.
func teamByName(index *document.Index, name string) *Team {
	team := index.TeamByName(name)
	if team == nil {
		return nil
	}
	return &Team{Name: team.Name, Rate: team.Rate.String(), Burst: team.Burst, Keys: len(team.Keys)}
}

// routeByName returns a route by its name, or nil.
func (h *Handler) routeByName(index *document.Index, name string, now time.Time) *Route {
	for _, r := range index.Document().Routes {
		if r.Name == name {
			return h.describeRoute(index, r, now)
		}
	}
	return nil
}

// describeRoute says where a route's requests go.
func (h *Handler) describeRoute(index *document.Index, r document.Route, now time.Time) *Route {
	service := index.Service(r.Service)
	route := &Route{Name: r.Name, Service: service.Name, Serving: service.Serving}
	if shift := index.Shift(service.Name); shift != nil {
		route.Shift = shift.Name
	}
	for _, version := range service.Versions {
		for _, e := range version.Endpoints {
			group := slots.Group{Service: service.Name, Version: version.Name, Region: index.Region(e.FailureDomain)}
			route.Endpoints = append(route.Endpoints, Endpoint{
				Address:       e.Address,
				Version:       version.Name,
				FailureDomain: e.FailureDomain,
				Slots:         e.Slots,
				State:         h.Slots.Explain(group, e.Address, now),
			})
		}
	}
	return route
}
