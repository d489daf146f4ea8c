package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/front/platform/configuration"
)

// EntriesPath is the page that tells a caller which instances to use.
const EntriesPath = "/.cardamomfront/entries"

// EntriesAnswer is the body of the entries page.
type EntriesAnswer struct {
	// Entries are the instances to use, the best first.
	Entries []Entry `json:"entries"`
	// LifetimeMs is how long the answer may be used, in milliseconds.
	LifetimeMs int64 `json:"lifetimeMs"`
}

// Entry is one instance that takes callers' requests.
type Entry struct {
	// URL is the base address for callers.
	URL string `json:"url"`
	// Region is the instance's region.
	Region string `json:"region"`
}

// EntrySource ranks the instances that a team's callers use.
type EntrySource interface {
	// Entries returns the instances for team, the best first; team is empty
	// for a caller without a key.
	Entries(now time.Time, team string) []Entry
}

// EntriesPage answers which instances a caller is to use.
type EntriesPage struct {
	// Snapshots gives the document in force.
	Snapshots configuration.Source
	// Source ranks the instances.
	Source EntrySource
}

// ServeHTTP implements http.Handler.
func (p *EntriesPage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := p.Snapshots.Current()
	if !snapshot.Ready {
		refuse(http.StatusServiceUnavailable, ReasonNoConfiguration).write(w)
		return
	}
	index := snapshot.Index
	name := ""
	if team := index.TeamOfKey(bearerKey(r)); team != nil {
		name = team.Name
	}
	answer := EntriesAnswer{
		Entries:    p.Source.Entries(time.Now(), name),
		LifetimeMs: index.Document().Entries.Lifetime.Std().Milliseconds(),
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(answer)
}
