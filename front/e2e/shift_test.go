package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint/standin"
	"github.com/cardamomfront/cardamomfront/front/operator/command"
	"github.com/cardamomfront/cardamomfront/front/operator/shiftcmd"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// shiftDocument is the part of a document that shifts the tracker to v2.
func shiftDocument(stages string) string {
	const form = "2006-01-02T15:04:05Z"
	now := time.Now().UTC()
	return fmt.Sprintf(`shifts:
  - name: tracker-v2
    service: tracker
    to: v2
    start: %s
    deadline: %s
    stages: [%s]
    watch: 5m
`, now.Format(form), now.Add(10*time.Minute).Format(form), stages)
}

// steadyTraffic sends requests to all instances until the test ends.
func steadyTraffic(t *testing.T, f *fleet) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, len(f.instances))
	for _, i := range f.instances {
		go func() {
			client := &http.Client{Timeout: time.Second}
			for ctx.Err() == nil {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, i.url()+"/hours", http.NoBody)
				if err != nil {
					panic(err)
				}
				if resp, err := client.Do(req); err == nil {
					_ = resp.Body.Close()
				}
				time.Sleep(4 * time.Millisecond)
			}
			done <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		for range f.instances {
			<-done
		}
	})
}

// shiftArgs are the arguments of a command on shifts.
func (f *fleet) shiftArgs(given ...string) []string {
	args := append([]string{"shift"}, given...)
	args = append(args, "--platform", "http://"+f.platform, "--environment", environment, "--operator", "e2e")
	for _, i := range f.instances {
		args = append(args, "--instance", i.Operators)
	}
	return args
}

// movement returns what the tool says of the shift; nothing before it is known.
func (f *fleet) movement(t *testing.T) shiftcmd.Movement {
	t.Helper()
	var r shiftcmd.Report
	out, code := ctl(t, f.shiftArgs("status", "tracker-v2", "--output", "json")...)
	if code == command.ExitUsage {
		return shiftcmd.Movement{}
	}
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		t.Fatalf("%v in %s", err, out)
	}
	return r.Movements[0]
}

// executed returns how many requests an endpoint has run.
func executed(t *testing.T, e *testEndpoint) uint64 {
	t.Helper()
	resp, err := http.Get("http://" + e.Address + standin.PathCounts)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var c standin.Counts
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	return c.Executed
}

// TestBadVersionIsTakenBack lets the new version fail from its fifth second on.
func TestBadVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2)
	bad := f.addEndpoint(t, "bad", "kano-a", "v2", "--fail-after", "5s")
	f.promote(t, documentOptions{Extra: shiftDocument("{cap: 20%, hold: 5m}, {cap: 100%}")}, 1)
	steadyTraffic(t, f)
	eventually(t, "the take-back", func() error {
		if m := f.movement(t); m.Record.Phase != shift.RolledBack {
			return fmt.Errorf("the shift is %v", m.Record.Phase)
		}
		return nil
	})
	out, code := ctl(t, f.shiftArgs("watch", "tracker-v2")...)
	if code != command.ExitRolledBack || !strings.Contains(out, "errors on route hours") {
		t.Fatalf("watch ended with %d, want %d and the reason:\n%s", code, command.ExitRolledBack, out)
	}
	if executed(t, bad) == 0 {
		t.Error("the new version got no request at all")
	}
	for _, i := range f.instances {
		i.stop(t)
	}
	before := executed(t, bad)
	f.instances = nil
	f.addInstance(t, "kaduna-a")
	eventually(t, "a new instance knows the outcome", func() error {
		m := f.movement(t)
		if len(m.Shifts) == 1 && m.Shifts[0].Record.Phase == shift.RolledBack {
			return nil
		}
		return fmt.Errorf("it says %+v", m.Shifts)
	})
	for range 50 {
		sendTo(t, http.DefaultClient, f.instances[0].url(), http.MethodGet, "/hours", "", nil)
	}
	if after := executed(t, bad); after != before {
		t.Errorf("the version that was taken back got %d further requests", after-before)
	}
}

// TestStoppedHolderIsReplaced stops the instance that advances a shift and lets
// it go on later.
func TestStoppedHolderIsReplaced(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	f.addEndpoint(t, "good", "kano-a", "v2")
	f.promote(t, documentOptions{Extra: shiftDocument("{cap: 10%, hold: 8s}, {cap: 50%, hold: 5m}, {cap: 100%}")}, 1)
	steadyTraffic(t, f)
	var first string
	eventually(t, "the first stage", func() error {
		m := f.movement(t)
		first = m.Record.Holder
		if m.Record.Phase != shift.Running || len(m.Shifts) != len(f.instances) {
			return fmt.Errorf("%v, %d statuses", m.Record.Phase, len(m.Shifts))
		}
		return nil
	})
	holder := f.named(t, first)
	holder.signal(t, syscall.SIGSTOP)
	eventually(t, "another instance to advance the shift", func() error {
		m := f.movement(t)
		if m.Record.Holder == first || m.Record.Stage != 1 {
			return fmt.Errorf("%s holds stage %d", m.Record.Holder, m.Record.Stage)
		}
		return nil
	})
	holder.signal(t, syscall.SIGCONT)
	eventually(t, "the stopped instance to follow", func() error {
		for _, s := range f.movement(t).Shifts {
			if s.Instance == first && s.Record.Stage == 1 {
				return nil
			}
		}
		return fmt.Errorf("not yet")
	})
	m := f.movement(t)
	var steps []string
	for _, e := range m.Events {
		steps = append(steps, fmt.Sprintf("%s %d", e.Record.Phase, e.Record.Stage))
	}
	if want := []string{"pending 0", "running 0", "running 1"}; !slices.Equal(steps, want) || m.Record.Holder == first {
		t.Errorf("steps %v, advanced by %s; want %v and another than %s", steps, m.Record.Holder, want, first)
	}
}

// named returns the instance of a name.
func (f *fleet) named(t *testing.T, name string) *testInstance {
	t.Helper()
	for _, s := range f.movement(t).Shifts {
		if s.Instance != name {
			continue
		}
		for _, i := range f.instances {
			if strings.HasPrefix(name, i.FailureDomain+"-") {
				return i
			}
		}
	}
	t.Fatalf("no instance %q", name)
	return nil
}
