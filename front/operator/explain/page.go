// Package explain reports to operators why an instance refuses the requests of
// a team or on a route, and which endpoints serve them. It combines the
// document in force with recent outcomes and the instance's view of each
// endpoint.
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

// Path is the path of explanations on an instance's operator listener. The query
// parameters "team" and "route" select what is explained.
const Path = "/explain"

// Explanation is the response body at Path.
type Explanation struct {
	// Generation is the generation in force at the instance.
	Generation uint64 `json:"generation"`
	// WindowSeconds is the minimum period that Outcomes covers, in seconds.
	WindowSeconds int `json:"windowSeconds"`
	// Team is set if the query selects a team.
	Team *Team `json:"team,omitempty"`
	// Route is set if the query selects a route.
	Route *Route `json:"route,omitempty"`
	// Outcomes are recent outcomes, most frequent first.
	Outcomes []caller.RecentOutcome `json:"outcomes"`
}

// Team describes a team in the document in force.
type Team struct {
	// Name is the team's name.
	Name string `json:"name"`
	// Rate is its rate over all instances, with its unit.
	Rate string `json:"rate"`
	// Burst is its burst over all instances, in requests.
	Burst int `json:"burst"`
	// Keys is the number of its keys.
	Keys int `json:"keys"`
}

// Route describes where requests on a route go.
type Route struct {
	// Name is the route's name.
	Name string `json:"name"`
	// Service is the service that the route leads to.
	Service string `json:"service"`
	// Serving is the version that serves while there is no shift.
	Serving string `json:"serving"`
	// Shift is the name of the service's shift, if any.
	Shift string `json:"shift,omitempty"`
	// Endpoints are the endpoints of the service's versions.
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint describes an endpoint as the instance sees it.
type Endpoint struct {
	// Address is the endpoint's address.
	Address string `json:"address"`
	// Version is the version that it runs.
	Version string `json:"version"`
	// FailureDomain is the failure domain that it runs in.
	FailureDomain string `json:"failureDomain"`
	// Slots is the number of requests that it serves concurrently.
	Slots int `json:"slots"`
	// State describes the instance's view of the endpoint.
	State string `json:"state"`
}

// EndpointExplainer describes an instance's view of an endpoint.
// *broker.Service implements it.
type EndpointExplainer interface {
	// Explain returns a short description of an endpoint of a group.
	Explain(g slots.Group, address string, now time.Time) string
}

// Handler serves explanations at one instance.
type Handler struct {
	// Snapshots provides the document in force.
	Snapshots configuration.Source
	// Recent holds the most recent outcomes.
	Recent *caller.Recent
	// Slots describes the states of endpoints.
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

// teamByName returns the description of a team, or nil.
func teamByName(index *document.Index, name string) *Team {
	team := index.TeamByName(name)
	if team == nil {
		return nil
	}
	return &Team{Name: team.Name, Rate: team.Rate.String(), Burst: team.Burst, Keys: len(team.Keys)}
}

// routeByName returns the description of a route, or nil.
func (h *Handler) routeByName(index *document.Index, name string, now time.Time) *Route {
	for _, r := range index.Document().Routes {
		if r.Name == name {
			return h.describeRoute(index, r, now)
		}
	}
	return nil
}

// describeRoute describes a route and the endpoints of its service.
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
