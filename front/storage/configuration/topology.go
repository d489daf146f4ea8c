package configuration

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cardamomfront/cardamomfront/steer/relay"
)

// sampledPerDomain is the number of instances of a failure domain, besides its readers,
// that are asked while the store does not answer. They are drawn anew each
// time, so that dead readers do not hide their failure domain for long.
const sampledPerDomain = 2

// topology says who reads the store and who asks whom, for one list of peers.
// Instances go by their addresses, which outlast a lost lease. It is immutable.
type topology struct {
	self  string
	peers []Peer
	// byAddr holds the peers, without those that have this instance's address.
	byAddr map[string]Peer
	// addrsByDomain holds the addresses in each failure domain, with this instance.
	addrsByDomain   map[string][]string
	readersByDomain map[string][]string
	// tree is the tree of this instance's failure domain.
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
			// Nothing is known of a seed but its address: it stands alone, so
			// that it is told and asked like a reader.
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

// parents returns the peers that this instance asks; none for a reader.
func (t *topology) parents() []Peer { return t.find(t.tree.Parents(t.self)) }

// above returns the parents and the readers of this instance's failure domain.
func (t *topology) above() []Peer { return t.find(append(t.tree.Parents(t.self), t.tree.Readers()...)) }

// children returns the peers that ask this instance.
func (t *topology) children() []Peer { return t.find(t.tree.Children(t.self)) }

// announceTargets returns the peers to tell of news that no peer brought: the readers of
// all failure domains, and this instance's children.
func (t *topology) announceTargets() []Peer {
	addrs := slices.Concat(slices.Collect(maps.Values(t.readersByDomain))...)
	return t.find(append(addrs, t.tree.Children(t.self)...))
}

// witnesses returns the peers to ask while the store does not answer: the
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

// find returns the peers at the addresses, each once and without this one.
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

// topology returns the topology for the present peers.
func (w *Watcher) topology() *topology {
	peers := w.directory.Peers()
	if previous := w.latestTopology.Load(); previous != nil && slices.Equal(previous.peers, peers) {
		return previous
	}
	t := newTopology(w.settings, peers)
	w.latestTopology.Store(t)
	return t
}
