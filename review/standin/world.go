package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/platform/standin"
)

// zones are the failure domains with their regions. A gateway runs in each, and a
// second one in the first two, as in the users' small deployment.
var zones = map[string]string{
	"kano-1": "kano", "kano-2": "kano", "kaduna-1": "kaduna",
	"kaduna-2": "kaduna", "sokoto-1": "sokoto", "sokoto-2": "sokoto",
}

// gatewayZones are the failure domains of the gateways.
var gatewayZones = []string{"kano-1", "kano-1", "kaduna-1", "kaduna-1", "kano-2", "kaduna-2", "sokoto-1", "sokoto-2"}

const (
	host      = "app.example"
	key       = "a-key-of-team-a"
	graceS    = 6
	readyWait = 15 * time.Second
)

// world is the platform with its gateways.
type world struct {
	start    time.Time
	binary   string
	dir      string
	store    *standin.Store
	address  string
	gateways []*gatewayProcess
	record   *record
	ids      struct {
		sync.Mutex
		last int
	}
}

// gatewayProcess is a gateway and its addresses.
type gatewayProcess struct {
	name, zone, file             string
	callers, ready, peers, relay string
	directory                    string
	cmd                          *exec.Cmd
	exited                       chan struct{}
}

func newWorld(binary, dir string) *world {
	return &world{start: time.Now(), binary: binary, dir: dir, store: standin.NewStore(), record: &record{start: time.Now()}}
}

// serveStore serves the store with a manifest.
func (w *world) serveStore(manifest []byte) error {
	w.store.SetRaw("op", "config", manifest)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return nil
}

// loopbackHost returns the address of a gateway's host, which no other run uses at
// the same time.
func loopbackHost(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, 1+pid/128%250, i+1)
}

// setFreeAddresses sets addresses of a loopback host with ports that are free. All
// listeners are open at the same time, so that no port is picked twice.
func setFreeAddresses(host string, addresses ...*string) error {
	for _, a := range addresses {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		*a = l.Addr().String()
	}
	return nil
}

// startGateways starts all gateways for the first time and waits until they are
// ready.
func (w *world) startGateways() error {
	for i, zone := range gatewayZones {
		g := &gatewayProcess{name: fmt.Sprintf("g%d", i), zone: zone, file: filepath.Join(w.dir, fmt.Sprintf("g%d.yaml", i))}
		if err := setFreeAddresses(loopbackHost(i), &g.callers, &g.ready, &g.peers, &g.relay, &g.directory); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	return w.startAll(true)
}

// startAll starts the gateways and waits until they are ready.
func (w *world) startAll(bootstrap bool) error {
	for _, g := range w.gateways {
		if err := w.startGateway(g, bootstrap); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.waitUntilReady(); err != nil {
			return err
		}
	}
	return nil
}

// startGateway starts one gateway with the command of the deploy file.
func (w *world) startGateway(g *gatewayProcess, bootstrap bool) error {
	settings, err := json.Marshal(map[string]any{ // settings are YAML, which includes JSON
		"name": g.name, "region": zones[g.zone], "failureDomain": g.zone, "failureDomains": zones, "capacity": 0.32, "bootstrap": bootstrap,
		"listen": map[string]string{"callers": g.callers, "ready": g.ready, "directory": g.directory, "peers": g.peers, "relay": g.relay},
		"store":  w.address, "lifetime": 2, "grace": graceS, "retryRatio": 0.2, "retrySlack": 56,
		"log": map[string]string{"level": "info", "format": "json"},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.file, settings, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(w.dir, g.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command(w.binary, "gateway")
	g.cmd.Env = append(os.Environ(), "CARDAMOMFRONT_SETTINGS="+g.file)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(g.cmd, g.exited)
	return nil
}

// waitUntilReady waits until the gateway takes requests.
func (g *gatewayProcess) waitUntilReady() error {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.name)
}

// kill ends the gateway's process and waits until it has ended.
func (g *gatewayProcess) kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.exited
	g.cmd = nil
}

// killAll ends all gateways at once.
func (w *world) killAll() {
	for _, g := range w.gateways {
		if g.cmd != nil {
			_ = g.cmd.Process.Kill()
		}
	}
	w.stopAll()
}

// stopAll ends all gateways that still run.
func (w *world) stopAll() {
	for _, g := range w.gateways {
		g.kill()
	}
}

// nextID returns a new request ID.
func (w *world) nextID() string {
	w.ids.Lock()
	defer w.ids.Unlock()
	w.ids.last++
	return fmt.Sprintf("r%06d", w.ids.last)
}

// note adds a line to the record.
func (w *world) note(format string, values ...any) { w.record.note(fmt.Sprintf(format, values...)) }
