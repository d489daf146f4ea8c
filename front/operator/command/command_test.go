package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/cardamomfront/cardamomfront/front/operator"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

const example = "../../../examples/kano.yaml"

// testSystem is a platform and two instances, each behind its own HTTP server.
type testSystem struct {
	t        *testing.T
	platform string
	addrs    []string
	watchers []*configuration.Watcher
}

// noPeers is the directory of an instance without peers.
type noPeers struct{}

func (noPeers) Peers() []configuration.Peer { return nil }

func newTestSystem(t *testing.T) *testSystem {
	store := httptest.NewServer(standin.NewStore().Handler())
	t.Cleanup(store.Close)
	system := &testSystem{t: t, platform: store.URL}
	for _, domain := range []string{"kano-a", "kano-b"} {
		system.start(domain)
	}
	return system
}

func (system *testSystem) start(domain string) {
	client := storage.NewClient(storage.Settings{URL: system.platform})
	log := logrus.New()
	log.SetOutput(io.Discard)
	meters, err := configuration.NewMeters(noop.Meter{})
	if err != nil {
		system.t.Fatal(err)
	}
	location := generation.Location{Instance: "i-" + domain, Region: "kano", FailureDomain: domain}
	settings := configuration.DefaultSettings("kano-trial", location, "", "kano")
	watcher := configuration.NewWatcher(settings, client, nil, noPeers{}, log, meters)
	mux := http.NewServeMux()
	operator.Register(mux, watcher)
	server := httptest.NewServer(mux)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- watcher.Run(ctx) }()
	system.t.Cleanup(func() {
		server.Close()
		cancel()
		<-ended
		client.Close()
	})
	system.addrs = append(system.addrs, strings.TrimPrefix(server.URL, "http://"))
	system.watchers = append(system.watchers, watcher)
}

// run runs the tool and returns its exit code and output.
func (system *testSystem) run(args ...string) (int, string) {
	root := &cobra.Command{Use: "cardamomctl", SilenceErrors: true, SilenceUsage: true}
	Add(root)
	shared := []string{
		"--platform", system.platform, "--environment", "kano-trial", "--operator", "ana", "--output", "json",
		"--instance", strings.Join(system.addrs, ","),
	}
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs(append(args, shared...))
	err := root.ExecuteContext(system.t.Context())
	if err != nil {
		system.t.Logf("%v: %v", args, err)
	}
	return ExitCode(err), out.String()
}

// mustRun runs the tool, requires success and decodes its output.
func mustRun[T any](system *testSystem, args ...string) T {
	system.t.Helper()
	code, out := system.run(args...)
	var report T
	if err := json.Unmarshal([]byte(out), &report); code != ExitDone || err != nil {
		system.t.Fatalf("%v: exit code %d, output %q, %v", args, code, out, err)
	}
	return report
}

// acceptingInstances returns the number of instances that accept a key.
func (system *testSystem) acceptingInstances(key string) int {
	count := 0
	for _, watcher := range system.watchers {
		if _, err := configuration.NewKeyring(watcher, configuration.RefuseStale).Authenticate(key); err == nil {
			count++
		}
	}
	return count
}

func TestLifeOfAKey(t *testing.T) {
	system := newTestSystem(t)
	first := mustRun[ChangeReport](system, "promote", example, "--expect", "0")
	for _, i := range first.Instances {
		if i.Outcome != operator.Confirmed || i.Generation != 1 {
			t.Errorf("instance %v: %v, generation %d", i.ListedInstance, i.Outcome, i.Generation)
		}
	}
	added := mustRun[ChangeReport](system, "key", "add", "ward-01", "ward-01-b")
	for system.acceptingInstances(added.Key) != len(system.watchers) {
		time.Sleep(10 * time.Millisecond) // bounded by the test's own timeout
	}
	mustRun[ChangeReport](system, "key", "withdraw", "ward-01-b")
	if got := system.acceptingInstances(added.Key); got != 0 {
		t.Errorf("a withdrawn key is accepted by %d instances", got)
	}
	drained := mustRun[ChangeReport](system, "drain", "sokoto", "--deadline", "30m")
	if drain := system.watchers[0].Current().Index.Drain("sokoto"); drain == nil {
		t.Error("the drain is not in force")
	}
	mustRun[ChangeReport](system, "drain", "sokoto", "--cancel")
	status := mustRun[StatusReport](system, "status")
	if want := drained.Promotion.Generation + 1; status.Promotion.Generation != want {
		t.Errorf("status: generation %d, want %d", status.Promotion.Generation, want)
	}
	for _, i := range status.Instances {
		if i.Straggler || i.Status == nil {
			t.Errorf("status of %v: %+v", i.ListedInstance, i.Status)
		}
	}
}

func TestExitCodes(t *testing.T) {
	system := newTestSystem(t)
	mustRun[ChangeReport](system, "promote", example, "--expect", "0")
	faulty := filepath.Join(t.TempDir(), "faulty.yaml")
	if err := os.WriteFile(faulty, []byte("environment: kano-trial\nteam: []\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		desc string
		args []string
		want int
	}{
		{"valid document", []string{"check", example}, ExitDone},
		{"invalid document", []string{"check", faulty}, ExitInvalidDocument},
		{"invalid document promoted", []string{"promote", faulty, "--expect", "1"}, ExitInvalidDocument},
		{"document of another environment", []string{"promote", "../../../examples/ganguly.yaml", "--expect", "1"}, ExitInvalidDocument},
		{"another promotion was first", []string{"promote", example, "--expect", "0"}, ExitConflict},
		{"expected generation missing", []string{"promote", example}, ExitUsage},
		{"no such file", []string{"check", "none.yaml"}, ExitUsage},
		{"no such command", []string{"chekc"}, ExitUsage},
		{"no such flag", []string{"status", "--wrong"}, ExitUsage},
		{"no such key", []string{"key", "withdraw", "none"}, ExitUsage},
		{"no such region", []string{"drain", "lagos", "--deadline", "30m"}, ExitInvalidDocument},
		{"deadline missing", []string{"drain", "sokoto"}, ExitUsage},
		{"duplicate key ID", []string{"key", "add", "ward-01", "ward-01-a"}, ExitInvalidDocument},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got, _ := system.run(tt.args...); got != tt.want {
				t.Errorf("exit code %d, want %d", got, tt.want)
			}
		})
	}
	if got := system.watchers[0].Current().Head.Generation; got != 1 {
		t.Errorf("generation %d after refused changes, want 1", got)
	}
	system.platform = "http://127.0.0.1:1"
	if got, _ := system.run("status"); got != ExitFailed {
		t.Errorf("platform unreachable: exit code %d, want %d", got, ExitFailed)
	}
}

func TestStragglersAreNamed(t *testing.T) {
	system := newTestSystem(t)
	mustRun[ChangeReport](system, "promote", example, "--expect", "0")
	system.addrs = append(system.addrs, "127.0.0.1:1")
	code, out := system.run("key", "withdraw", "ward-05-a", "--timeout", "4s")
	var report ChangeReport
	if err := json.Unmarshal([]byte(out), &report); err != nil || code != ExitStragglers {
		t.Fatalf("exit code %d, output %q, %v", code, out, err)
	}
	for _, i := range report.Instances {
		want := operator.Confirmed
		if i.Addr == "127.0.0.1:1" {
			want = operator.Straggler
		}
		if i.Outcome != want {
			t.Errorf("%s: %v, want %v", i.Addr, i.Outcome, want)
		}
	}
}

func TestSettingsFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "ctl.yaml")
	write := func(content string) {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("platform: http://127.0.0.1:7000\nenvironment: kano-trial\noperator: ana\ninstances: [\"127.0.0.1:7300\"]\n")
	f := flags{file: file}
	f.settings.Operator = "bilal"
	s, err := f.resolve()
	if err != nil || s.Platform != "http://127.0.0.1:7000" || s.Operator != "bilal" || len(s.Instances) != 1 {
		t.Errorf("settings = %+v, %v", s, err)
	}
	write("platform: http://127.0.0.1:7000\nenvironmint: kano-trial\n")
	if _, err = f.resolve(); err == nil || !strings.Contains(err.Error(), file+":2:1: ") {
		t.Errorf("unknown setting: %v", err)
	}
	write("platform: nowhere\nenvironment: kano-trial\n")
	if _, err = f.resolve(); ExitCode(err) != ExitUsage {
		t.Errorf("platform without address: %v", err)
	}
}
