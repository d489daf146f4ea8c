package rollouts

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	checks := "10000"
	if testing.Short() {
		checks = "1000"
	}
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
