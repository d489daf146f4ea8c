package shares

import (
	"github.com/cardamomfront/cardamomfront/steer/entry"
	"github.com/cardamomfront/cardamomfront/steer/membership"
)

// usableEntries returns the members that accept new requests.
func usableEntries(all []membership.Member) []entry.Instance {
	var usable []entry.Instance
	for _, m := range all {
		if m.Usable() {
			usable = append(usable, entry.Instance{Name: m.Name, URL: m.CallerURL, Region: m.Region, FailureDomain: m.FailureDomain, Load: m.Load})
		}
	}
	return usable
}

// entrySettings returns the entry settings of the current document.
func (a *Agent) entrySettings() entry.Settings {
	s := entry.DefaultSettings()
	if index := a.source.Current().Index; index != nil {
		s.Homes = index.Document().Entries.Homes
	}
	return s
}

// Entries returns the instances that a caller of a team in a region should use,
// best first. An empty region means the region of this instance.
func (a *Agent) Entries(team, region, caller string) []entry.Candidate {
	if region == "" {
		region = a.settings.Region
	}
	a.mu.Lock()
	view := a.views[team]
	a.mu.Unlock()
	t := entry.Team{Name: team, Rate: view.quota.Rate}
	return entry.Candidates(t, region, caller, usableEntries(a.members.Members()), a.entrySettings())
}
