package configuration

import "slices"

// seededDirectory is a Directory extended by fixed addresses.
type seededDirectory struct {
	directory Directory
	self      string
	seeds     []string
}

// WithSeeds returns a Directory that lists the peers of d and a peer for each
// seed address that d does not list. An instance that starts while the store
// does not respond knows no other instance and gets the generation in force
// from the seeds. The instance's own address, self, is left out.
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
