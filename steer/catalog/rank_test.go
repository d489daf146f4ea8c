package catalog

import (
	"slices"
	"testing"
)

// Guards against a missing priority of teams, which reads as 0, overriding the
// ranks of routes, and against services of one rank counting as ranked.
func TestRanks(t *testing.T) {
	routes := []Route{
		{Name: "lock", Priority: 0, Backends: []Backend{{Service: "ledger"}}},
		{Name: "schedule", Priority: 2, Backends: []Backend{{Service: "ledger"}}},
		{Name: "lookup", Priority: 1, Backends: []Backend{{Service: "quote"}}},
		{Name: "open", Priority: 1, Open: true, Backends: []Backend{{Service: "quote"}}},
	}
	for _, x := range []struct {
		name          string
		teams         []Team
		ledger, quote []int
		rank          int // of the first team on the second route
	}{
		{"teams without priorities", []Team{{Name: "a"}, {Name: "b"}}, []int{0, 2}, nil, 2},
		{"teams of one priority", []Team{{Name: "a", Priority: 3}}, []int{0, 2}, nil, 2},
		{"teams that differ", []Team{{Name: "a", Priority: 1}, {Name: "b", Priority: -5}}, []int{-5, 1}, []int{-5, 1}, 1},
	} {
		c := New(Catalog{Routes: routes, Teams: x.teams})
		ranks := c.Ranks()
		if !slices.Equal(ranks["ledger"], x.ledger) || !slices.Equal(ranks["quote"], x.quote) {
			t.Errorf("%s: %v", x.name, ranks)
		}
		if got := c.RankOf(&c.Routes[1], &c.Teams[0]); got != x.rank {
			t.Errorf("%s: rank %d, want %d", x.name, got, x.rank)
		}
		if got := c.RankOf(&c.Routes[1], nil); got != 2 {
			t.Errorf("%s: rank %d without a team, want the route's", x.name, got)
		}
	}
}
