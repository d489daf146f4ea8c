package relay

import (
	"cmp"
	"slices"
)

// HubsPerDomain is the number of hubs of a failure domain. There are two, so
// that one may fail.
const HubsPerDomain = 2

// readersPerRegion is the number of instances of a region that may read the
// store for the others: the reader, and a standby that reads it when the reader
// fails.
const readersPerRegion = 2

// Instance is an instance as the choice of hubs sees it.
type Instance struct {
	// Name is unique in the fleet.
	Name string
	// Domain is its failure domain.
	Domain string
	// Capacity is its share of a processor. Instances with more of it are
	// preferred as hubs.
	Capacity float64
	// CutOff is set if it recently did not reach the store. It then is no reader
	// as long as others reach it.
	CutOff bool
}

// Hubs returns the hubs of a failure domain, the first one first. They exchange
// the domain's reports with those of other domains, and pass tables of the store
// on to the other instances of the domain. Instances that know the same members
// choose the same hubs.
func Hubs(domain string, region []Instance) []string {
	var names []string
	for _, i := range ranked(region, func(i Instance) bool { return i.Domain == domain }) {
		names = append(names, i.Name)
	}
	return names[:min(len(names), HubsPerDomain)]
}

// RegionReaders returns the reader of a region and its standby. They are of
// different failure domains if there are enough.
func RegionReaders(region []Instance) []string {
	all := ranked(region, func(i Instance) bool { return !i.CutOff })
	if len(all) == 0 {
		all = ranked(region, func(Instance) bool { return true })
	}
	var readers []string
	domains := make(map[string]bool)
	for _, distinct := range []bool{true, false} {
		for _, i := range all {
			if len(readers) == readersPerRegion {
				return readers
			}
			if distinct && domains[i.Domain] || slices.Contains(readers, i.Name) {
				continue
			}
			domains[i.Domain] = true
			readers = append(readers, i.Name)
		}
	}
	return readers
}

// Sources returns the instances from which self reads the tables of the store,
// the preferred one first; none if it reads the store itself. Hubs read from the
// region's reader or its standby, the others from the hubs of their failure
// domain. All read the store if their sources fail.
func Sources(self string, region []Instance) []string {
	readers := RegionReaders(region)
	if i := slices.Index(readers, self); i >= 0 {
		return readers[:i]
	}
	domain := ""
	for _, i := range region {
		if i.Name == self {
			domain = i.Domain
		}
	}
	sources := Hubs(domain, region)
	if slices.Contains(sources, self) || len(sources) == 0 {
		return readers
	}
	if len(sources) > 1 && score("source", self)%2 == 1 {
		sources = []string{sources[1], sources[0]}
	}
	return sources
}

// ranked returns the instances that match, those with the highest capacity
// first.
func ranked(all []Instance, match func(Instance) bool) []Instance {
	type candidate struct {
		Instance
		score uint64
	}
	var matching []candidate
	for _, i := range all {
		if match(i) {
			matching = append(matching, candidate{i, score("hub", i.Name)})
		}
	}
	slices.SortFunc(matching, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	sorted := make([]Instance, len(matching))
	for i, c := range matching {
		sorted[i] = c.Instance
	}
	return sorted
}
