package document

import (
	"errors"
	"os"
	"strings"
	"testing"
)

func readSmall(t testing.TB) string {
	t.Helper()
	content, err := os.ReadFile("testdata/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func TestDecodeFaults(t *testing.T) {
	small := readSmall(t)
	digest := KeyDigest("a")
	tests := []struct {
		desc, old, new string
		want           string // message
		at             string // text on the line of the fault
	}{
		{"unknown field", "burst: 120", "bursts: 120", `unknown field "bursts"`, "bursts"},
		{"field of a wrong type", "burst: 120", "burst: [1]", "a whole number is expected here", "burst: [1]"},
		{"twice the same field", "burst: 120", "burst: 120\n    burst: 9", `mapping key "burst" already defined`, "burst: 9"},
		{"syntax", "teams:", "teams: [", "", ""},
		{"anchor", "burst: 120", "burst: &b 120", "anchors", "&b"},
		{"tag", "[GET, HEAD]", "!list [GET, HEAD]", "tags are not allowed", "!list"},
		{"rate without unit", "rate: 40/s", "rate: 40", `"40" has no unit`, "rate: 40"},
		{"quoted rate without unit", "rate: 40/s", `rate: "40"`, `"40" has no unit`, "rate:"},
		{"rate of an unknown unit", "rate: 40/s", "rate: 40/day", "unknown unit", "40/day"},
		{"rate left empty", "rate: 40/s", "rate:", "rate of team", "rate:"},
		{"rate of a list", "rate: 40/s", "rate: [40/s]", "a value with a unit is missing", "[40/s]"},
		{"rate is no number", "rate: 40/s", "rate: NaN/s", "does not begin with a number", "NaN"},
		{"timeout without unit", "timeout: 2s", "timeout: 2", `"2" has no unit`, "timeout: 2"},
		{"negative timeout", "timeout: 2s", "timeout: -2s", "negative", "timeout: -2s"},
		{"size without unit", "maxBody: 1MiB", "maxBody: 5", `"5" has no unit`, "maxBody: 5"},
		{"cap without unit", "cap: 10%", "cap: 10", `"10" has no unit`, "cap: 10"},
		{"cap over 100%", "cap: 100%", "cap: 101%", `"101%" is over 100%`, "cap: 101%"},
		{"cap that falls", "cap: 10%", "cap: 0.5%", "cap 0.5% does not rise above 1%", "cap: 0.5%"},
		{"cap that stays", "cap: 10%", "cap: 1%", "does not rise", ""},
		{"last cap too low", "cap: 100%", "cap: 99%", "the last cap is 99%", "cap: 99%"},
		{"holds too long", "hold: 60s", "hold: 3h", "take 3h0m55s at least", "deadline: 2026-12-04T12"},
		{"no time to record completion", "deadline: 2026-12-04T12:00:00Z", "deadline: 2026-12-04T10:01:40Z", "1m40s after the start", "deadline: 2026-12-04T10:01"},
		{"environment missing", "environment: trial\n", "", "environment is missing", ""},
		{"bad name", "name: ward-01", "name: Ward 1", "is no name", "Ward 1"},
		{"team twice", "name: ward-02", "name: ward-01", `team "ward-01" stands twice`, ""},
		{"burst of zero", "burst: 120", "burst: 0", "burst of team", "burst: 0"},
		{"key in the clear", digest, "a", "must be sha256:", "digest:"},
		{"key digest twice", KeyDigest("b"), digest, "same digest", ""},
		{"key name twice", "id: ward-02-a", "id: ward-01-a", `key "ward-01-a" stands twice`, ""},
		{"failure domain twice", "kaduna-a", "kano-a", `failure domain "kano-a" stands twice`, ""},
		{"unknown failure domain", "failureDomain: kano-b", "failureDomain: lagos-a", `"lagos-a"`, "lagos-a"},
		{"endpoint address without port", "127.0.1.1:9001", "127.0.1.1", "no IP address", `"127.0.1.1"`},
		{"endpoint twice", "127.0.1.2:9001", "127.0.1.1:9001", "stands twice", "kano-b"},
		{"endpoint without slots", ", slots: 3}", "}", "at least 1 slot", "127.0.1.1"},
		{"serving version unknown", "serving: v1", "serving: v9", `no version "v9"`, "serving: v9"},
		{"route to an unknown service", "service: tracker\n    idem", "service: trucker\n    idem", `no service "trucker"`, "trucker"},
		{"routes overlap", "methods: [POST]", "methods: [POST, GET]", `route "tracker-write" overlaps route "tracker-read"`, "[POST, GET]"},
		{"route path not clean", "path: /tracker/", "path: /tracker/../x", "no clean path", "../x"},
		{"route path reserved", "path: /tracker/", "path: /.cardamomfront/x", "reserved", "/.cardamomfront/x"},
		{"unknown method", "[GET, HEAD]", "[GET, head]", `"head" is none of`, "head"},
		{"shift of an unknown service", "service: tracker\n    to", "service: x\n    to", `no service "x"`, "service: x"},
		{"shift to an unknown version", "to: v2", "to: v3", `no version "v3"`, "to: v3"},
		{"shift to the serving version", "to: v2", "to: v1", "serves already", "to: v1"},
		{"two shifts on one service", "drains:", secondShift + "drains:", `are both on service "tracker"`, ""},
		{"drain of an unknown region", "region: kaduna", "region: lagos", `no region "lagos"`, "lagos"},
		{"drain of all endpoints", "region: kaduna", "region: kano", "has no endpoint left", "region: kano"},
		{"drain that a shift is on", "failureDomain: kano-c", "failureDomain: kaduna-a", `shift "tracker-v2" needs`, "region: kaduna"},
		{"drain ends before it begins", "deadline: 2026-12-04T11", "deadline: 2026-12-03T11", "not after the start", "2026-12-03T11"},
		{"homes below one", "homes: 2", "homes: -1", "at least 1", "homes: -1"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			content := strings.Replace(small, tt.old, tt.new, 1)
			if content == small {
				t.Fatalf("%q is not in the document", tt.old)
			}
			doc, err := Decode("f.yaml", []byte(content))
			var fault *Error
			if doc != nil || !errors.As(err, &fault) {
				t.Fatalf("Decode = %v, %v; want an *Error", doc, err)
			}
			if !strings.Contains(fault.Message, tt.want) || fault.File != "f.yaml" {
				t.Errorf("fault = %v, want %q", fault, tt.want)
			}
			lines := strings.Split(content, "\n")
			if fault.Line < 1 || fault.Line > len(lines) || fault.Column < 1 {
				t.Fatalf("position = %d:%d", fault.Line, fault.Column)
			}
			if !strings.Contains(lines[fault.Line-1], tt.at) {
				t.Errorf("%v: line is %q, want the one with %q", fault, lines[fault.Line-1], tt.at)
			}
		})
	}
}

const secondShift = `  - name: second
    service: tracker
    to: v2
    start: 2026-12-04T10:00:00Z
    deadline: 2026-12-04T12:00:00Z
    stages: [{cap: 100%}]
`

func TestDecodeOddFiles(t *testing.T) {
	tests := []struct{ desc, content, want string }{
		{"empty", "", "0 YAML documents"},
		{"comment only", "# nothing\n", "0 YAML documents"},
		{"two documents", "environment: a\n---\nenvironment: b\n", "2 YAML documents"},
		{"too large", strings.Repeat("#", MaxSize+1), "larger than"},
		{"a list", "[a, b]", ""},
		{"a word", "word", ""},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			_, err := Decode("f.yaml", []byte(tt.content))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("err = %v, want %q", err, tt.want)
			}
		})
	}
}

func TestEncodeRoundTrip(t *testing.T) {
	for _, file := range []string{"testdata/small.yaml", "../../examples/kano.yaml", "../../examples/ganguly.yaml"} {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		doc, err := Decode(file, content)
		if err != nil {
			t.Fatal(err)
		}
		first, err := Encode(doc)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode("encoded", first)
		if err != nil {
			t.Fatalf("%v\n%s", err, first)
		}
		second, err := Encode(again)
		if err != nil || string(first) != string(second) {
			t.Errorf("%s: encoding twice gives two texts (%v)", file, err)
		}
	}
}

func TestExampleSizes(t *testing.T) {
	tests := []struct {
		file   string
		region int
		slots  map[string][2]int // by service: the number of endpoints, and the slots of each
	}{
		{"kano", 3, map[string][2]int{"tracker": {14, 3}, "ledger": {12, 3}, "intake": {12, 3}}},
		{"ganguly", 3, map[string][2]int{"depot-stock": {18, 6}, "claim-ledger": {12, 5}, "proof-store": {12, 3}}},
	}
	for _, tt := range tests {
		content, err := os.ReadFile("../../examples/" + tt.file + ".yaml")
		if err != nil {
			t.Fatal(err)
		}
		doc, err := Decode(tt.file, content)
		if err != nil {
			t.Fatal(err)
		}
		if len(doc.Teams) != 8 || len(doc.Regions) != tt.region || len(doc.Services) != len(tt.slots) {
			t.Errorf("%s: %d teams, %d regions, %d services", tt.file, len(doc.Teams), len(doc.Regions), len(doc.Services))
		}
		for _, service := range doc.Services {
			endpoints := service.version(service.Serving).Endpoints
			if want := tt.slots[service.Name]; len(endpoints) != want[0] || endpoints[0].Slots != want[1] {
				t.Errorf("%s %s: %d endpoints of %d slots, want %v", tt.file, service.Name, len(endpoints), endpoints[0].Slots, want)
			}
		}
	}
}
