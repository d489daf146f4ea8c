package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// gateway is an entry instance: the project's own program in a process of its own.
type gateway struct {
	name, callers, ready, directory string

	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// settingsText is deploy/settings.yaml as the platform fills it in, for a machine of a
// small deployment.
var settingsText = template.Must(template.New("settings").Parse(`name: "{{.Name}}"
region: "{{.Region}}"
failureDomain: "{{.Zone}}"
failureDomains:
  "kano-fagge": "kano"
  "kaduna-tudun": "kaduna"
listen:
  callers: "{{.Callers}}"
  ready: "{{.Ready}}"
  directory: "{{.Directory}}"
  peers: "{{.Peers}}"
  relay: "{{.Relay}}"
  metrics: "{{.Metrics}}"
capacity: 0.32
bootstrap: {{.Bootstrap}}
store: "{{.Store}}"
lifetime: 2
grace: 6
retryRatio: 0.2
retrySlack: 56
pipelining: {maxAhead: 8}
log: {level: info, format: json}
`))

// ownHost returns a loopback address that only this process uses, so that no other run
// takes a port between its choice and its use.
func ownHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid/250%250, 1+pid%250)
}

// freeAddresses returns addresses at which nothing listens.
func freeAddresses(host string) (addresses [6]string, err error) {
	for i := range addresses {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return addresses, err
		}
		defer l.Close() // after all have been drawn
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

// startGateway starts the program that DEPLOY's role names, with the settings file in
// the environment variable, and waits until it is ready.
func startGateway(root, dir, name, host, zone, store string, bootstrap bool) (*gateway, error) {
	addresses, err := freeAddresses(host)
	if err != nil {
		return nil, err
	}
	region := map[string]string{"kano-fagge": "kano", "kaduna-tudun": "kaduna"}[zone]
	var text bytes.Buffer
	if err := settingsText.Execute(&text, map[string]any{
		"Name": name, "Region": region, "Zone": zone, "Callers": addresses[0], "Ready": addresses[1], "Directory": addresses[2],
		"Peers": addresses[3], "Relay": addresses[4], "Metrics": addresses[5], "Bootstrap": bootstrap, "Store": store,
	}); err != nil {
		return nil, err
	}
	file := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	g := &gateway{name: name, callers: addresses[0], ready: addresses[1], directory: addresses[2], exited: make(chan struct{})}
	g.cmd = exec.Command(filepath.Join(root, "target/cardamomfront"), "gateway")
	g.cmd.Dir = root
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARDAMOMFRONT_SETTINGS=" + file}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		g.err = g.cmd.Wait()
		close(g.exited)
	}()
	return g, nil
}

// waitReady waits until the instance says that it is ready.
func (g *gateway) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("instance %s is not ready", g.name)
}

// stop ends the process that this program has started.
func (g *gateway) stop() {
	_ = g.cmd.Process.Signal(syscall.SIGKILL)
	<-g.exited
}

const (
	hostName = "jepu9.example"
	teamKey  = "tnfzs989anu6wsjnbanf"
)
