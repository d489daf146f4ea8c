package configuration

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cardamomfront/cardamomfront/steer/relay"
)

// sampledPerDomain is the number of instances of each failure domain, besides
// its readers, that are polled while the store does not respond. Each poll
// draws a new sample, so that dead readers do not hide their failure domain for
// long.
const sampledPerDomain = 2

// topology holds which instances read the store and which peers each instance
// polls, for one list of peers. Instances are identified by address, because
// the address stays the same when a lease is lost. It is immutable.
type topology struct {
	self  string
	peers []Peer
	// byAddr holds the peers by address, except for entries with this
	// instance's own address.
	byAddr map[string]Peer
	// addrsByDomain holds the addresses in each failure domain, including this
	// instance.
	addrsByDomain   map[string][]string
	readersByDomain map[string][]string
	// tree is the relay topology of this instance's failure domain.
	tree *relay.Topology
}

// newTopology returns the topology as the instance at s.PeerAddr sees it.
func newTopology(s Settings, peers []Peer) *topology {
	t := &topology{
		self:            s.PeerAddr,
		peers:           peers,
		byAddr:          map[string]Peer{},
		addrsByDomain:   map[string][]string{},
		readersByDomain: map[string][]string{},
	}
	for _, p := range peers {
		if p.Addr != s.PeerAddr {
			t.byAddr[p.Addr] = p
		}
	}
	for addr, p := range t.byAddr {
		domain := p.FailureDomain
		if domain == "" {
			// Only the address of a seed is known. It gets a failure domain of
			// its own, so that it is treated as a reader in announcements and
			// polls.
			domain = addr
		}
		t.addrsByDomain[domain] = append(t.addrsByDomain[domain], addr)
	}
	localDomain := s.Location.FailureDomain
	t.addrsByDomain[localDomain] = append(t.addrsByDomain[localDomain], s.PeerAddr)
	for domain, addrs := range t.addrsByDomain {
		t.readersByDomain[domain] = relay.Readers(domain, addrs)
	}
	t.tree = relay.NewTopology(localDomain, t.addrsByDomain[localDomain], s.Relay)
	return t
}

// parents returns the peers that this instance polls; none for a reader.
func (t *topology) parents() []Peer { return t.find(t.tree.Parents(t.self)) }

// above returns this instance's parents and the readers of its failure domain.
func (t *topology) above() []Peer { return t.find(append(t.tree.Parents(t.self), t.tree.Readers()...)) }

// children returns the peers that poll this instance.
func (t *topology) children() []Peer { return t.find(t.tree.Children(t.self)) }

// announceTargets returns the peers to notify of a head that came from the
// store or the operators' tool rather than from a peer: the readers of all
// failure domains and this instance's children.
func (t *topology) announceTargets() []Peer {
	addrs := slices.Concat(slices.Collect(maps.Values(t.readersByDomain))...)
	return t.find(append(addrs, t.tree.Children(t.self)...))
}

// witnesses returns the peers to poll while the store does not respond: the
// readers of each failure domain and a sample of its other instances.
func (t *topology) witnesses() []Peer {
	var addrs []string
	for domain, all := range t.addrsByDomain {
		readers := t.readersByDomain[domain]
		others := slices.DeleteFunc(slices.Clone(all), func(addr string) bool { return slices.Contains(readers, addr) })
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		addrs = append(addrs, readers...)
		addrs = append(addrs, others[:min(sampledPerDomain, len(others))]...)
	}
	return t.find(addrs)
}

// find returns the peers at addrs, without duplicates and without this
// instance. It sorts addrs.
func (t *topology) find(addrs []string) []Peer {
	slices.Sort(addrs)
	var peers []Peer
	for _, addr := range slices.Compact(addrs) {
		if p, ok := t.byAddr[addr]; ok {
			peers = append(peers, p)
		}
	}
	return peers
}

// topology returns the topology for the current peers. It is rebuilt only when
// the peers have changed.
func (w *Watcher) topology() *topology {
	peers := w.directory.Peers()
	if previous := w.latestTopology.Load(); previous != nil && slices.Equal(previous.peers, peers) {
		return previous
	}
	t := newTopology(w.settings, peers)
	w.latestTopology.Store(t)
	return t
}
