package reach

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestChooseHelper(t *testing.T) {
	near := Helper{Name: "near", Region: "east", RoundTrip: 3 * time.Millisecond}
	nearBusy := Helper{Name: "near-busy", Region: "east", RoundTrip: 3 * time.Millisecond, Running: 2}
	nearFull := Helper{Name: "near-full", Region: "east", RoundTrip: 3 * time.Millisecond, Running: 100}
	far := Helper{Name: "far", Region: "west", RoundTrip: 110 * time.Millisecond}
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		name    string
		helpers []Helper
		regions []string
		want    string
	}{
		{"none", nil, nil, ""},
		{"the nearest", []Helper{far, near}, nil, "near"},
		{"the less busy", []Helper{nearBusy, near, far}, nil, "near"},
		{"a distant one rather than a full one", []Helper{nearFull, far}, nil, "far"},
		{"only in the regions of the body", []Helper{near, far}, []string{"west"}, "far"},
		{"none in the regions of the body", []Helper{near}, []string{"west", "north"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, ok := ChooseHelper(random, c.helpers, c.regions)
			if h.Name != c.want || ok != (c.want != "") {
				t.Errorf("chosen %q (%t), want %q", h.Name, ok, c.want)
			}
		})
	}
}

// Requests are spread over all helpers, also those of other regions while near ones
// are busy.
func TestHelpersShareTheRequests(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	helpers := []Helper{
		{Name: "a", Region: "east", RoundTrip: 4 * time.Millisecond},
		{Name: "b", Region: "east", RoundTrip: 4 * time.Millisecond},
		{Name: "c", Region: "west", RoundTrip: 44 * time.Millisecond},
	}
	for range 100 { // none of them ends
		h, _ := ChooseHelper(random, helpers, nil)
		for i := range helpers {
			if helpers[i].Name == h.Name {
				helpers[i].Running++
			}
		}
	}
	if a, b, c := helpers[0].Running, helpers[1].Running, helpers[2].Running; a < 30 || b < 30 || c < 15 {
		t.Errorf("%d, %d and %d requests run", a, b, c)
	}
}
