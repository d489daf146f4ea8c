package document

import "testing"

func smallIndex(t testing.TB) *Index {
	t.Helper()
	doc, err := Decode("small.yaml", []byte(readSmall(t)))
	if err != nil {
		t.Fatal(err)
	}
	return Compile(doc)
}

func TestRoute(t *testing.T) {
	x := smallIndex(t)
	tests := []struct{ desc, method, path, want string }{
		{"prefix", "GET", "/tracker/mats/7", "tracker-read"},
		{"the prefix itself", "GET", "/tracker/", "tracker-read"},
		{"longest prefix wins", "GET", "/tracker/photos/1", "tracker-photos"},
		{"longest prefix without its slash", "GET", "/tracker/photos", "tracker-photos"},
		{"only whole segments", "GET", "/tracker/photosx", "tracker-read"},
		{"by method", "POST", "/tracker/mats", "tracker-write"},
		{"shorter prefix has the method", "POST", "/tracker/photos/1", "tracker-write"},
		{"no such method", "DELETE", "/tracker/mats", ""},
		{"no such path", "GET", "/track", ""},
		{"prefix without its slash", "GET", "/tracker", ""},
		{"parent segment", "GET", "/tracker/../ledger", ""},
		{"encoded parent segment, decoded once", "GET", "/tracker/%2e%2e/ledger", ""},
		{"backslash", "GET", `/tracker/..\ledger`, ""},
		{"empty segment", "GET", "/tracker//x", ""},
		{"no path", "GET", "", ""},
		{"asterisk", "OPTIONS", "*", ""},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			got := ""
			if route := x.Route(tt.method, tt.path); route != nil {
				got = route.Name
			}
			if got != tt.want {
				t.Errorf("Route(%s, %s) = %q, want %q", tt.method, tt.path, got, tt.want)
			}
		})
	}
}

func TestTeam(t *testing.T) {
	x := smallIndex(t)
	if team := x.TeamByKeyDigest(KeyDigest("b")); team == nil || team.Name != "ward-02" {
		t.Errorf("TeamByKeyDigest(digest of b) = %v", team)
	}
	if team := x.TeamByKey("b"); team == nil || team.Name != "ward-02" {
		t.Errorf("TeamByKey(b) = %v", team)
	}
	for _, key := range []string{"", "c", KeyDigest("b")} {
		if team := x.TeamByKey(key); team != nil {
			t.Errorf("TeamByKey(%q) = %v", key, team.Name)
		}
	}
}

func TestLookUpsAllocateNothing(t *testing.T) {
	x := smallIndex(t)
	allocations := testing.AllocsPerRun(100, func() {
		x.Route("GET", "/tracker/mats/7/wash/history")
		x.TeamByKey("a-key-of-the-usual-length-0123456789abcdef0123456789abcdef")
	})
	if allocations != 0 {
		t.Errorf("%v allocations per look-up, want 0", allocations)
	}
}
