package crash

import "testing"

func TestFingerprintsTellRequestsApart(t *testing.T) {
	base := Request{Method: "POST", Host: "app.example", Target: "/book/1?q=2", Team: "team-a", Body: []byte("a body")}
	if again := base; again.Fingerprint() != base.Fingerprint() {
		t.Error("the same request has two fingerprints")
	}
	seen := map[Fingerprint]string{base.Fingerprint(): "base"}
	for name, change := range map[string]func(*Request){
		"method":             func(r *Request) { r.Method = "PUT" },
		"host":               func(r *Request) { r.Host = "other.example" },
		"path":               func(r *Request) { r.Target = "/book/2?q=2" },
		"query":              func(r *Request) { r.Target = "/book/1?q=3" },
		"team":               func(r *Request) { r.Team = "team-b" },
		"no team":            func(r *Request) { r.Team = "" },
		"body":               func(r *Request) { r.Body = []byte("a body ") },
		"no body":            func(r *Request) { r.Body = nil },
		"streamed":           func(r *Request) { r.Streamed = true },
		"other field bounds": func(r *Request) { r.Host, r.Target = "app.example/", "book/1?q=2" },
		"team in the body":   func(r *Request) { r.Team, r.Body = "", []byte("team-aa body") },
	} {
		r := base
		change(&r)
		if other, ok := seen[r.Fingerprint()]; ok {
			t.Errorf("%s: the fingerprint is that of %s", name, other)
		}
		seen[r.Fingerprint()] = name
	}
}
