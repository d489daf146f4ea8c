package relay

import (
	"fmt"
	"slices"
	"testing"
)

const designMembers = 300

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250)
	}
	return all
}

// hops returns the number of hops from a member to the reader of a tree.
func hops(t *Topology, self string, tree int) int {
	n := 0
	for t.Role(self) != Reader {
		self = t.Parents(self)[tree]
		n++
	}
	return n
}

func TestTree(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10, 18, 19, 36, designMembers} {
		members := names(n)
		tree := NewTopology("kano-a", members, DefaultSettings())
		if got, want := len(tree.Readers()), min(n, TreeCount); got != want {
			t.Errorf("%d members: %d readers, want %d", n, got, want)
		}
		if !slices.Equal(tree.Readers(), Readers("kano-a", members)) {
			t.Errorf("%d members: Readers differs from Topology.Readers", n)
		}
		for _, m := range members {
			parents := tree.Parents(m)
			if tree.Role(m) == Reader {
				if len(parents) > 0 {
					t.Errorf("%d members: a reader has parents %v", n, parents)
				}
			} else if len(parents) != TreeCount || parents[0] == parents[1] || slices.Contains(parents, m) {
				t.Fatalf("%d members: parents of %s are %v", n, m, parents)
			}
			for i := range parents {
				if got := hops(tree, m, i); got > 2 {
					t.Errorf("%d members: %d hops from %s", n, got, m)
				}
			}
			limit := 2 * DefaultFanOut
			if tree.Role(m) == Reader {
				limit = DefaultFanOut
			}
			if got := len(tree.Children(m)); got > limit {
				t.Errorf("%d members: %v %s answers %d, want at most %d", n, tree.Role(m), m, got, limit)
			}
		}
		slices.Reverse(members)
		again := NewTopology("kano-a", members, DefaultSettings())
		for _, m := range members {
			if !slices.Equal(again.Parents(m), tree.Parents(m)) {
				t.Errorf("%d members: the order of the members changes the trees", n)
			}
		}
	}
}

// TestRemovalMovesFewMembers counts the members whose parents change when one member is
// removed.
func TestRemovalMovesFewMembers(t *testing.T) {
	const bound = 3 * DefaultFanOut
	members := names(designMembers)
	before := NewTopology("kano-a", members, DefaultSettings())
	worst, total := 0, 0
	for i, dead := range members {
		after := NewTopology("kano-a", slices.Delete(slices.Clone(members), i, i+1), DefaultSettings())
		moved := 0
		for _, m := range members {
			if m != dead && !slices.Equal(before.Parents(m), after.Parents(m)) {
				moved++
			}
		}
		worst, total = max(worst, moved), total+moved
		if moved > bound {
			t.Errorf("removal of %v %s changes the parents of %d members, want at most %d", before.Role(dead), dead, moved, bound)
		}
	}
	t.Logf("moved of %d: mean %.1f, most %d", designMembers, float64(total)/designMembers, worst)
}
