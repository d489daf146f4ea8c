package entry

import (
	"fmt"
	"slices"
	"testing"
)

func tenInstances() []Instance {
	regions := []string{"kano", "kaduna", "sokoto"}
	var all []Instance
	for i := range 10 {
		region := regions[i%3]
		all = append(all, Instance{
			Name: fmt.Sprintf("i%d", i), URL: fmt.Sprintf("http://10.0.0.%d:80", i), Region: region,
			FailureDomain: fmt.Sprintf("%s-%d", region, i/3%2),
		})
	}
	return all
}

func names(instances []Instance) []string {
	var all []string
	for _, i := range instances {
		all = append(all, i.Name)
	}
	return all
}

func TestHomes(t *testing.T) {
	tests := []struct {
		desc   string
		rate   float64
		region string
		want   int
	}{
		{"small team", 3, "kano", 2},
		{"large team", 350, "kano", 4},
		{"larger than the region", 900, "kaduna", 3},
		{"region without instances", 3, "elsewhere", 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			homes := Homes(Team{Name: "ward-01", Rate: tt.rate}, tt.region, tenInstances(), DefaultSettings())
			if len(homes) != tt.want {
				t.Fatalf("homes %v, want %d", names(homes), tt.want)
			}
			if len(homes) >= 2 && homes[0].FailureDomain == homes[1].FailureDomain {
				t.Errorf("homes %v share a failure domain", names(homes))
			}
		})
	}
}

func TestCandidatesAgreeForTheSameInstances(t *testing.T) {
	for team := range 50 {
		tm := Team{Name: fmt.Sprintf("ward-%02d", team), Rate: 5}
		shuffled := tenInstances()
		slices.Reverse(shuffled)
		a := Candidates(tm, "kano", "10.1.1.1", tenInstances(), DefaultSettings())
		b := Candidates(tm, "kano", "10.1.1.1", shuffled, DefaultSettings())
		if !slices.Equal(a, b) {
			t.Fatalf("%s: %v and %v", tm.Name, a, b)
		}
		if !a[0].Home || a[0].Region != "kano" || a[2].Region == "kano" {
			t.Fatalf("%s: candidates %v are not homes in the region, then a fallback in another region", tm.Name, a)
		}
	}
}

func TestOneInstanceLessMovesOnlyItsTeams(t *testing.T) {
	all := tenInstances()
	for team := range 200 {
		tm := Team{Name: fmt.Sprintf("ward-%02d", team), Rate: 5}
		before := names(Homes(tm, "kano", all, DefaultSettings()))
		for removed := range all {
			remaining := slices.Delete(slices.Clone(all), removed, removed+1)
			after := names(Homes(tm, "kano", remaining, DefaultSettings()))
			if !slices.Contains(before, all[removed].Name) && !slices.Equal(before, after) {
				t.Fatalf("%s moved from %v to %v when %s was removed", tm.Name, before, after, all[removed].Name)
			}
			if slices.Contains(after, all[removed].Name) {
				t.Fatalf("%s still has removed home %s", tm.Name, all[removed].Name)
			}
		}
	}
}

func TestCallersAndTeamsSpread(t *testing.T) {
	all := tenInstances()
	first := make(map[string]int)
	const callers = 3000
	for c := range callers {
		first[Candidates(Team{Name: "ward-01", Rate: 50}, "kano", fmt.Sprint(c), all, DefaultSettings())[0].Name]++
	}
	for name, n := range first {
		if n < callers/4 {
			t.Errorf("%s is first for only %d of %d callers, with two homes", name, n, callers)
		}
	}
	loaded := tenInstances()
	loaded[0].Load = 0.95
	count := func(instances []Instance) int {
		n := 0
		for team := range 500 {
			if slices.Contains(names(Homes(Team{Name: fmt.Sprint(team)}, "kano", instances, Settings{Homes: 1, RatePerHome: 100, RatePerPrimary: 10})), "i0") {
				n++
			}
		}
		return n
	}
	if busy, idle := count(loaded), count(all); busy*2 > idle {
		t.Errorf("a loaded instance is home to %d of 500 teams, an idle one to %d", busy, idle)
	}
}
