// Package relay decides which instances of a failure domain read the
// configuration from the store, and from which instances the others get it.
//
// Two readers of a failure domain read the store. Each is the root of a tree
// of depth two over the other instances: the reader answers a fixed number of
// relays, and each relay answers the instances that hash to its slot. Every
// other instance has a parent in both trees. No instance is a reader or relay
// in both trees, so the loss of one parent leaves the other.
//
// All choices use rendezvous hashing (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998). Instances that see the
// same members compute the same trees, and a change of one member moves few
// others.
package relay

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// TreeCount is the number of trees, and so of readers, in a failure domain.
const TreeCount = 2

// DefaultFanOut is the default number of relays of a reader.
const DefaultFanOut = 16

// Settings configures a Topology.
type Settings struct {
	// FanOut is the number of relays in each tree, and so the most instances
	// that a reader answers. A relay answers about the number of members
	// divided by FanOut.
	FanOut int
}

// DefaultSettings returns the defaults, which suit 300 members.
func DefaultSettings() Settings { return Settings{FanOut: DefaultFanOut} }

// Role is the part that an instance has in its failure domain.
type Role uint8

const (
	// Leaf queries its parents and answers no other instance.
	Leaf Role = iota
	// Relay queries its parents and answers its children.
	Relay
	// Reader reads the store and answers its children.
	Reader
)

// String returns the role's name for logs.
func (r Role) String() string {
	switch r {
	case Leaf:
		return "leaf"
	case Relay:
		return "relay"
	case Reader:
		return "reader"
	default:
		return fmt.Sprintf("role(%d)", uint8(r))
	}
}

// Topology holds the trees of one failure domain. It is immutable.
type Topology struct {
	members []string
	readers []string
	// relays holds one relay for each slot of each tree. It is empty when the
	// readers can answer all other members themselves.
	relays [TreeCount][]string
}

// NewTopology returns the trees over the members of a failure domain. The
// order of members does not matter; their names must be unique.
func NewTopology(domain string, members []string, s Settings) *Topology {
	t := &Topology{members: slices.Sorted(slices.Values(members))}
	taken := map[string]bool{}
	for range min(TreeCount, len(members)) {
		t.readers = append(t.readers, choose(domain+"/reader", t.members, taken))
	}
	if len(members)-len(t.readers) <= s.FanOut {
		return t
	}
	for tree := range TreeCount {
		for slot := range s.FanOut {
			key := fmt.Sprintf("%s/%d/%d", domain, tree, slot)
			t.relays[tree] = append(t.relays[tree], choose(key, t.members, taken))
		}
	}
	return t
}

// Readers returns the members that read the store: two, or all if there are
// fewer.
func Readers(domain string, members []string) []string {
	return NewTopology(domain, members, Settings{FanOut: len(members)}).Readers()
}

// Parents returns the members that self queries; none for a reader.
func Parents(self, domain string, members []string, s Settings) []string {
	return NewTopology(domain, members, s).Parents(self)
}

// Readers returns the members that read the store.
func (t *Topology) Readers() []string { return slices.Clone(t.readers) }

// Role returns the role of a member.
func (t *Topology) Role(self string) Role {
	if slices.Contains(t.readers, self) {
		return Reader
	}
	for _, relays := range t.relays {
		if slices.Contains(relays, self) {
			return Relay
		}
	}
	return Leaf
}

// Parents returns the members that self queries, one in each tree; none for a
// reader.
func (t *Topology) Parents(self string) []string {
	if slices.Contains(t.readers, self) {
		return nil
	}
	parents := make([]string, 0, TreeCount)
	for tree, reader := range t.readers {
		parents = append(parents, t.parent(self, tree, reader))
	}
	return parents
}

// parent returns the parent in one tree of a member that is not a reader.
func (t *Topology) parent(self string, tree int, reader string) string {
	relays := t.relays[tree]
	if len(relays) == 0 || slices.Contains(relays, self) {
		return reader
	}
	return relays[score(strconv.Itoa(tree), self)%uint64(len(relays))]
}

// Children returns the members that query self.
func (t *Topology) Children(self string) []string {
	if t.Role(self) == Leaf {
		return nil
	}
	var children []string
	for _, m := range t.members {
		if slices.Contains(t.Parents(m), self) {
			children = append(children, m)
		}
	}
	return children
}

// choose returns the member with the highest score that is not taken yet, and
// marks it as taken.
func choose(key string, members []string, taken map[string]bool) string {
	var best string
	var highest uint64
	for _, m := range members {
		if s := score(key, m); !taken[m] && (best == "" || s > highest) {
			best, highest = m, s
		}
	}
	taken[best] = true
	return best
}

// score returns the rendezvous hash of a member for a key.
func score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}
