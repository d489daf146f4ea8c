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

// shiftDocument returns the section of a document that shifts the tracker
// service to v2.
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

// startSteadyTraffic sends requests to all instances in the background until
// the test ends.
func startSteadyTraffic(t *testing.T, f *fleet) {
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

// shiftArgs returns the arguments of a cardamomctl shift command.
func (f *fleet) shiftArgs(subcommand ...string) []string {
	args := append([]string{"shift"}, subcommand...)
	args = append(args, "--platform", "http://"+f.platform, "--environment", environment, "--operator", "e2e")
	for _, i := range f.instances {
		args = append(args, "--instance", i.Operators)
	}
	return args
}

// shiftStatus returns the status of the shift as printed by cardamomctl. It is
// empty as long as the shift is unknown.
func (f *fleet) shiftStatus(t *testing.T) shiftcmd.Movement {
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

// executedRequests returns the number of requests that an endpoint has run.
func executedRequests(t *testing.T, e *testEndpoint) uint64 {
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

// TestBadVersionIsTakenBack lets the new version fail after five seconds. The
// shift must be rolled back, and an instance that joins after all others have
// stopped must read that result and send the version no requests.
func TestBadVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2)
	badEndpoint := f.addEndpoint(t, "bad", "kano-a", "v2", "--fail-after", "5s")
	f.promote(t, documentOptions{Extra: shiftDocument("{cap: 20%, hold: 5m}, {cap: 100%}")}, 1)
	startSteadyTraffic(t, f)
	eventually(t, "rollback of the shift", func() error {
		if m := f.shiftStatus(t); m.Record.Phase != shift.RolledBack {
			return fmt.Errorf("phase is %v", m.Record.Phase)
		}
		return nil
	})
	out, code := ctl(t, f.shiftArgs("watch", "tracker-v2")...)
	if code != command.ExitRolledBack || !strings.Contains(out, "errors on route hours") {
		t.Fatalf("watch exited with %d, want %d and the reason:\n%s", code, command.ExitRolledBack, out)
	}
	if executedRequests(t, badEndpoint) == 0 {
		t.Error("the new version received no request")
	}
	for _, i := range f.instances {
		i.stop(t)
	}
	before := executedRequests(t, badEndpoint)
	f.instances = nil
	f.addInstance(t, "kaduna-a")
	eventually(t, "result of the shift at a new instance", func() error {
		m := f.shiftStatus(t)
		if len(m.Shifts) == 1 && m.Shifts[0].Record.Phase == shift.RolledBack {
			return nil
		}
		return fmt.Errorf("shifts are %+v", m.Shifts)
	})
	for range 50 {
		sendTo(t, http.DefaultClient, f.instances[0].url(), http.MethodGet, "/hours", "", nil)
	}
	if after := executedRequests(t, badEndpoint); after != before {
		t.Errorf("the rolled-back version received %d further requests", after-before)
	}
}

// TestStoppedHolderIsReplaced suspends the instance that advances a shift with
// SIGSTOP. Another instance must advance the shift, and the suspended one must
// follow its record after it resumes.
func TestStoppedHolderIsReplaced(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	f.addEndpoint(t, "good", "kano-a", "v2")
	f.promote(t, documentOptions{Extra: shiftDocument("{cap: 10%, hold: 8s}, {cap: 50%, hold: 5m}, {cap: 100%}")}, 1)
	startSteadyTraffic(t, f)
	var firstHolder string
	eventually(t, "the first stage", func() error {
		m := f.shiftStatus(t)
		firstHolder = m.Record.Holder
		if m.Record.Phase != shift.Running || len(m.Shifts) != len(f.instances) {
			return fmt.Errorf("%v, %d statuses", m.Record.Phase, len(m.Shifts))
		}
		return nil
	})
	holder := f.instanceByName(t, firstHolder)
	holder.signal(t, syscall.SIGSTOP)
	eventually(t, "advance of the shift by another instance", func() error {
		m := f.shiftStatus(t)
		if m.Record.Holder == firstHolder || m.Record.Stage != 1 {
			return fmt.Errorf("holder %s, stage %d", m.Record.Holder, m.Record.Stage)
		}
		return nil
	})
	holder.signal(t, syscall.SIGCONT)
	eventually(t, "the resumed instance to reach stage 1", func() error {
		for _, s := range f.shiftStatus(t).Shifts {
			if s.Instance == firstHolder && s.Record.Stage == 1 {
				return nil
			}
		}
		return fmt.Errorf("it has not reached stage 1")
	})
	m := f.shiftStatus(t)
	var steps []string
	for _, e := range m.Events {
		steps = append(steps, fmt.Sprintf("%s %d", e.Record.Phase, e.Record.Stage))
	}
	if want := []string{"pending 0", "running 0", "running 1"}; !slices.Equal(steps, want) || m.Record.Holder == firstHolder {
		t.Errorf("steps %v, advanced by %s; want %v and a holder other than %s", steps, m.Record.Holder, want, firstHolder)
	}
}

// instanceByName returns the instance that reports the shift under a name.
func (f *fleet) instanceByName(t *testing.T, name string) *testInstance {
	t.Helper()
	for _, s := range f.shiftStatus(t).Shifts {
		if s.Instance != name {
			continue
		}
		for _, i := range f.instances {
			if strings.HasPrefix(name, i.FailureDomain+"-") {
				return i
			}
		}
	}
	t.Fatalf("no instance named %q", name)
	return nil
}
