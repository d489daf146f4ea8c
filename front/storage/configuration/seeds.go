package configuration

import "slices"

// seededDirectory is a directory with addresses that are known from the settings.
type seededDirectory struct {
	directory Directory
	self      string
	seeds     []string
}

// WithSeeds returns a directory that lists the peers of d and, besides them,
// those at the seeds' addresses. An instance that starts while the store is
// silent knows no other instance yet; it learns the generation in force from
// the seeds. The instance's own address, self, is left out.
func WithSeeds(d Directory, self string, seeds []string) Directory {
	return &seededDirectory{directory: d, self: self, seeds: seeds}
}

// Peers implements Directory.
func (s *seededDirectory) Peers() []Peer {
	listed := slices.Clone(s.directory.Peers())
	for _, addr := range s.seeds {
		known := slices.ContainsFunc(listed, func(p Peer) bool { return p.Addr == addr })
		if !known && addr != s.self {
			listed = append(listed, Peer{Name: addr, Addr: addr})
		}
	}
	return listed
}
