package configuration

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cardamomfront/cardamomfront/steer/relay"
)

// sampled is the number of instances of a failure domain, besides its readers,
// that are asked while the store does not answer. They are drawn anew each
// time, so that dead readers do not hide their failure domain for long.
const sampled = 2

// topology says who reads the store and who asks whom, for one list of peers.
// Instances go by their addresses, which outlast a lost lease. It is immutable.
type topology struct {
	self  string
	peers []Peer
	// byAddr holds the peers, without those that have this instance's address.
	byAddr map[string]Peer
	// domains holds the addresses in each failure domain, with this instance.
	domains map[string][]string
	readers map[string][]string
	// own is the tree of this instance's failure domain.
	own *relay.Topology
}

// newTopology returns the topology as the instance at s.PeerAddr sees it.
func newTopology(s Settings, peers []Peer) *topology {
	t := &topology{
		self:    s.PeerAddr,
		peers:   peers,
		byAddr:  map[string]Peer{},
		domains: map[string][]string{},
		readers: map[string][]string{},
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
		t.domains[domain] = append(t.domains[domain], addr)
	}
	home := s.Location.FailureDomain
	t.domains[home] = append(t.domains[home], s.PeerAddr)
	for domain, addrs := range t.domains {
		t.readers[domain] = relay.Readers(domain, addrs)
	}
	t.own = relay.NewTopology(home, t.domains[home], s.Relay)
	return t
}

// parents returns the peers that this instance asks; none for a reader.
func (t *topology) parents() []Peer { return t.named(t.own.Parents(t.self)) }

// above returns the parents and the readers of this instance's failure domain.
func (t *topology) above() []Peer { return t.named(append(t.own.Parents(t.self), t.own.Readers()...)) }

// children returns the peers that ask this instance.
func (t *topology) children() []Peer { return t.named(t.own.Children(t.self)) }

// origin returns the peers to tell of news that no peer brought: the readers of
// all failure domains, and this instance's children.
func (t *topology) origin() []Peer {
	addrs := slices.Concat(slices.Collect(maps.Values(t.readers))...)
	return t.named(append(addrs, t.own.Children(t.self)...))
}

// witnesses returns the peers to ask while the store does not answer: the
// readers of each failure domain and a sample of its other instances.
func (t *topology) witnesses() []Peer {
	var addrs []string
	for domain, all := range t.domains {
		readers := t.readers[domain]
		others := slices.DeleteFunc(slices.Clone(all), func(addr string) bool { return slices.Contains(readers, addr) })
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		addrs = append(addrs, readers...)
		addrs = append(addrs, others[:min(sampled, len(others))]...)
	}
	return t.named(addrs)
}

// named returns the peers at the addresses, each once and without this one.
func (t *topology) named(addrs []string) []Peer {
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
	if last := w.seen.Load(); last != nil && slices.Equal(last.peers, peers) {
		return last
	}
	t := newTopology(w.settings, peers)
	w.seen.Store(t)
	return t
}
