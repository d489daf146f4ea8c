package configuration

import (
	"slices"
	"testing"
)

// fixedDirectory is a Directory with fixed peers.
type fixedDirectory []Peer

func (l fixedDirectory) Peers() []Peer { return l }

func TestWithSeeds(t *testing.T) {
	known := Peer{Name: "i-1", Addr: "127.0.0.1:7200"}
	tests := []struct {
		desc  string
		peers fixedDirectory
		want  []Peer
	}{
		{"no peer is listed yet", nil, []Peer{{Name: "127.0.0.1:7200", Addr: "127.0.0.1:7200"}, {Name: "127.0.0.2:7200", Addr: "127.0.0.2:7200"}}},
		{"one peer is listed by its name", fixedDirectory{known}, []Peer{known, {Name: "127.0.0.2:7200", Addr: "127.0.0.2:7200"}}},
	}
	seeds := []string{"127.0.0.1:7200", "127.0.0.2:7200", "127.0.0.3:7200"}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			got := WithSeeds(tt.peers, "127.0.0.3:7200", seeds).Peers()
			if !slices.Equal(got, tt.want) {
				t.Errorf("peers = %v, want %v", got, tt.want)
			}
		})
	}
}
