package caller

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

// EntriesPath is the page that lists the instances a caller should use.
const EntriesPath = "/.cardamomfront/entries"

// EntriesResponse is the body of the entries page.
type EntriesResponse struct {
	// Entries are the instances to use, best first.
	Entries []Entry `json:"entries"`
	// LifetimeMs is how long the response may be used, in milliseconds.
	LifetimeMs int64 `json:"lifetimeMs"`
}

// Entry is one instance that accepts requests of callers.
type Entry struct {
	// URL is the base address for callers.
	URL string `json:"url"`
	// Region is the instance's region.
	Region string `json:"region"`
}

// EntryQuery describes the caller that requests a list of instances.
type EntryQuery struct {
	// Team is the caller's team, empty for a caller without a key.
	Team string
	// Region is the region requested by the caller, empty for the region of the
	// responding instance.
	Region string
	// Caller distinguishes callers of a team so that they are spread over
	// instances.
	Caller string
}

// EntrySource ranks the instances for the callers of a team.
type EntrySource interface {
	// Entries returns the instances to use, best first.
	Entries(q EntryQuery) []Entry
}

// regionParameter is the query parameter that names the region of the caller.
const regionParameter = "region"

// EntriesPage serves the list of instances that a caller should use.
type EntriesPage struct {
	// Snapshots returns the document in force.
	Snapshots configuration.Source
	// Source ranks the instances.
	Source EntrySource
}

// ServeHTTP implements http.Handler.
func (p *EntriesPage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := p.Snapshots.Current()
	if !snapshot.Ready {
		refuseNotRun(http.StatusServiceUnavailable, ReasonNoConfiguration).write(w)
		return
	}
	index := snapshot.Index
	query := EntryQuery{Region: knownRegion(index.Document(), r.URL.Query().Get(regionParameter)), Caller: callerHost(r)}
	if team := index.TeamByKey(bearerKey(r)); team != nil {
		query.Team = team.Name
	}
	response := EntriesResponse{
		Entries:    p.Source.Entries(query),
		LifetimeMs: index.Document().Entries.Lifetime.Std().Milliseconds(),
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(response)
}

// knownRegion returns name if the document has that region, else "".
func knownRegion(d *document.Document, name string) string {
	for _, region := range d.Regions {
		if region.Name == name {
			return name
		}
	}
	return ""
}

// callerHost returns the caller's address without its port.
func callerHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
