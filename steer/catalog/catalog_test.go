package catalog

import "testing"

func TestRouteWithTheLongestPrefix(t *testing.T) {
	c := New(Catalog{Routes: []Route{
		{Name: "all", Host: "app.example", Prefix: "/"},
		{Name: "part", Host: "app.example", Prefix: "/part/"},
		{Name: "other", Host: "other.example", Prefix: "/part/"},
	}})
	for _, x := range []struct{ host, path, want string }{
		{"app.example", "/x", "all"},
		{"APP.example", "/part/x", "part"},
		{"app.example", "/part", "all"},
		{"other.example", "/x", ""},
		{"none.example", "/", ""},
	} {
		got := ""
		if r := c.Route(x.host, x.path); r != nil {
			got = r.Name
		}
		if got != x.want {
			t.Errorf("%s%s: route %q, want %q", x.host, x.path, got, x.want)
		}
	}
}

// A request without a key belongs to no team, even if a team has an empty key.
func TestEmptyKeyBelongsToNobody(t *testing.T) {
	c := New(Catalog{Teams: []Team{{Name: "a", Keys: []string{"", "k"}}}})
	if team := c.TeamByKey(""); team != nil {
		t.Errorf("team %s", team.Name)
	}
	if team := c.TeamByKey("k"); team == nil || team.Name != "a" {
		t.Errorf("team %v", team)
	}
}

func TestRecordAppliesToItsOrder(t *testing.T) {
	o := RolloutOrder{To: "v2", Revision: 5}
	for _, x := range []struct {
		record RolloutRecord
		want   bool
	}{
		{RolloutRecord{To: "v2", Revision: 6}, true},
		{RolloutRecord{To: "v3", Revision: 6}, false},
		{RolloutRecord{To: "v2", Revision: 4}, false},
		{RolloutRecord{}, false},
	} {
		if got := x.record.AppliesTo(o); got != x.want {
			t.Errorf("%+v: %t", x.record, got)
		}
	}
}

func TestHomesOfRouteAndTeam(t *testing.T) {
	for _, x := range []struct {
		route, team []string
		want        int
		ok          bool
	}{
		{nil, nil, 0, true},
		{[]string{"a"}, nil, 1, true},
		{nil, []string{"a", "b"}, 2, true},
		{[]string{"a", "b"}, []string{"b", "c"}, 1, true},
		{[]string{"a"}, []string{"b"}, 0, false},
	} {
		homes, ok := HomeRegions(&Route{HomeRegions: x.route}, &Team{HomeRegions: x.team})
		if len(homes) != x.want || ok != x.ok {
			t.Errorf("%v and %v: %v, %t", x.route, x.team, homes, ok)
		}
	}
}
