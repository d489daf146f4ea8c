package trace

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const log = `
  8.9222 g1 {"candidates":18,"catalog":"00000002","domain":"d1","endpoint":"i-a6","error":"connection-broken, may-have-run: EOF","expected_ms":370,"level":"info","ms":894,"msg":"Try failed.","known":"home","prefix":"request","request":"4b76","route":"r","running":7,"since_ms":894,"team":"t","time":"2026-05-22T08:34:28Z","try":1,"version":"v1"}
not a line of ours
{"level":"info","msg":"Catalog in force.","prefix":"beliefs","time":"2026-05-22T08:34:28Z","version":"4b76"}
{"catalog":"00000002","level":"info","ms":896,"msg":"Request refused.","prefix":"request","reason":"endpoint-failed","request":"4b76","route":"r","status":502,"team":"t","time":"2026-05-22T08:34:28Z","tries":2,"verdict":"may-have-run"}
{"catalog":"00000002","level":"info","ms":0,"msg":"Request refused.","part":0.107,"prefix":"request","reason":"quota","request":"ac1f","retry_ms":928,"route":"r","status":429,"team":"t","time":"2026-05-22T08:34:30Z","tokens":0.2,"tries":0,"verdict":"not-run"}
{"catalog":"00000002","domain":"d2","endpoint":"i-d1","expected_ms":290,"level":"info","ms":1,"msg":"Try failed.","known":"warm","prefix":"request","request":"4b76","route":"r","running":4,"since_ms":895,"team":"t","time":"2026-05-22T08:34:28Z","try":2,"version":"v1"}
{"busy":1.07,"candidates":18,"catalog":"00000002","endpoint":"i-e7","error":"placing: too-late","expected_ms":570,"known":"warm","level":"info","ms":0,"msg":"Request refused.","object":"2a","prefix":"request","reason":"too-late","request":"8aba","retry_ms":94,"route":"r","service":"s","status":503,"team":"t","time":"2026-05-22T08:34:31Z","tries":0,"verdict":"not-run","wait_ms":132}
`

func TestTrace(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(file, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		request string
		want    []string // in order
	}{
		{"4b76", []string{"try 1 at i-a6", "connection-broken", "try 2 at i-d1", "answered 502, endpoint-failed", "may have run (route r, team t, catalog 00000002)"}},
		{"ac1f", []string{"answered 429, quota, not-run, to come back after 928 ms", "held 0.107 of it with 0.20 tokens"}},
		{"8aba", []string{"to come back after 94 ms", "lack of room at s: 107 % of the slots", "18 endpoints", "a wait of 132 ms with the object warm, its answer after 570 ms"}},
		{"none", []string{"No line"}},
	} {
		var out bytes.Buffer
		cmd := Command()
		cmd.SetOut(&out)
		cmd.SetArgs([]string{c.request, file})
		if err := cmd.Execute(); err != nil {
			t.Fatal(err)
		}
		rest := out.String()
		for _, want := range c.want {
			i := strings.Index(rest, want)
			if i < 0 {
				t.Errorf("%s: %q is missing or out of order in\n%s", c.request, want, out.String())
				break
			}
			rest = rest[i:]
		}
	}
}

func TestMissingFileIsAnError(t *testing.T) {
	cmd := Command()
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.SetArgs([]string{"4b76", filepath.Join(t.TempDir(), "none")})
	if cmd.Execute() == nil {
		t.Error("no error for a missing file")
	}
}
