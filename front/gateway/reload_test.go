package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/front/settings"
)

const settingsText = `
name: g1
region: east
failureDomain: east-1
failureDomains: {east-1: east}
listen: {callers: "127.0.0.1:1", ready: "127.0.0.1:2", directory: "127.0.0.1:3", peers: "127.0.0.1:4"}
store: "127.0.0.1:5"
lifetime: 2
grace: 6
retryRatio: 0.2
retrySlack: 50
`

// addressStore is a store that only records its address.
type addressStore struct {
	registry.Store
	address atomic.Value
}

func (s *addressStore) SetAddress(a string) { s.address.Store(a) }

// noIngress is an Ingress without content.
type noIngress struct{}

func (noIngress) Ready(func() bool) http.Handler { return http.NotFoundHandler() }

func (noIngress) Directory(func(CallerLocation) []string, func() time.Duration) http.Handler {
	return http.NotFoundHandler()
}

// newWatchingGateway returns an instance that watches a settings file.
func newWatchingGateway(t *testing.T) (g *Gateway, file string, store *addressStore) {
	t.Helper()
	file = filepath.Join(t.TempDir(), "settings.yaml")
	writeFile(t, file, settingsText)
	s, err := ReadSettings(file)
	if err != nil {
		t.Fatal(err)
	}
	store = &addressStore{}
	g, err = New(s, Adapters{Store: store, Ingress: noIngress{}}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(hangups) })
	go func() {
		defer close(done)
		g.WatchSettings(ctx, file, hangups)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return g, file, store
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// waitFor waits until ok returns true.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// A SIGHUP reloads the settings. It must not end the process, as it once did in
// the simulated day settings-and-clocks.
func TestHangupReloadsSettings(t *testing.T) {
	g, file, store := newWatchingGateway(t)
	writeFile(t, file, strings.NewReplacer("lifetime: 2", "lifetime: 4", ":5", ":55").Replace(settingsText))
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the new settings are not in force", func() bool {
		return g.settings.Load().Lifetime == 4 && store.address.Load() == "127.0.0.1:55"
	})
}

func TestChangedFileIsReloadedWithoutASignal(t *testing.T) {
	g, file, _ := newWatchingGateway(t)
	writeFile(t, file, strings.Replace(settingsText, "grace: 6", "grace: 3", 1))
	waitFor(t, "the new settings are not in force", func() bool { return g.settings.Load().Grace == 3 })
}

// An error in the settings file of a running instance names its line and
// column.
func TestSettingsErrorsHaveAPosition(t *testing.T) {
	for _, text := range []string{"name: [", strings.Replace(settingsText, "grace: 6", "grace: -1", 1), settingsText + "unknown: 1\n"} {
		_, err := DecodeSettings("g.yaml", []byte(text))
		var fault *settings.Error
		if !errors.As(err, &fault) || fault.Line == 0 || fault.Column == 0 || !strings.HasPrefix(err.Error(), "g.yaml:") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestFaultySettingsLeaveTheLastInForce(t *testing.T) {
	g, file, _ := newWatchingGateway(t)
	for _, text := range []string{"", "name: [", strings.Replace(settingsText, "grace: 6", "grace: -1", 1), settingsText + "unknown: 1\n"} {
		g.reload(file, []byte(text))
		if g.settings.Load().Grace != 6 {
			t.Errorf("invalid settings are in force: %q", text)
		}
	}
}

// Guards against a pace that runs where the settings do not ask for it.
func TestEndpointPaceIsOffByDefault(t *testing.T) {
	for content, want := range map[string]bool{
		settingsText: false, settingsText + "endpointPace: true\n": true, settingsText + "endpointPace: false\n": false,
	} {
		if s, err := DecodeSettings("settings.yaml", []byte(content)); err != nil || s.EndpointPace != want {
			t.Errorf("%s: %+v, %v; want %v", content, s, err, want)
		}
	}
	if _, err := DecodeSettings("settings.yaml", []byte(settingsText+"endpointPace: 2\n")); err == nil {
		t.Error("a number is accepted")
	}
}
