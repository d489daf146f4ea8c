// Command stand-3 plays the platform, the targets and the clients of the cases in
// review/11 to review/15 that are scripts, and judges what they see.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cardamomfront/cardamomfront/platform/standin"
)

// zones are the zones of the deployment; a region is a zone's name up to the dash.
var zones = []string{"kano-fagge", "kaduna-tudun", "sokoto-gidan", "kano-dala", "kaduna-barnawa", "sokoto-arkilla"}

func regionOf(zone string) string {
	region, _, _ := strings.Cut(zone, "-")
	return region
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// startStore starts the project's stand-in of the store on a loopback address.
func startStore(host string) (*standin.Store, string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, "", err
	}
	s := standin.NewStore()
	go func() { _ = http.Serve(l, s) }()
	return s, l.Addr().String(), nil
}

// collector reads the output of one process, as a collector of logs does. While it
// is stalled it reads nothing.
type collector struct {
	file *os.File

	mu      sync.Mutex
	resumed sync.Cond
	stalled bool
}

func newCollector(path string) (*collector, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	c := &collector{file: file}
	c.resumed.L = &c.mu
	return c, nil
}

func (c *collector) stall(stalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled = stalled
	c.resumed.Broadcast()
}

func (c *collector) run(r io.Reader) {
	buf := make([]byte, 4<<10)
	for {
		c.mu.Lock()
		for c.stalled {
			c.resumed.Wait()
		}
		c.mu.Unlock()
		n, err := r.Read(buf)
		_, _ = c.file.Write(buf[:n])
		if err != nil {
			return
		}
	}
}

// gateway is one process of the project, started as the deploy file says.
type gateway struct {
	name, zone, callers, ready string
	settings                   string
	logs                       *collector
	cmd                        *exec.Cmd
	done                       chan struct{}
}

// freeAddress returns an address of host whose port is free.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// newGateway writes the settings of a gateway into dir.
func newGateway(dir, host, name, zone, store string) (*gateway, error) {
	g := &gateway{name: name, zone: zone, settings: filepath.Join(dir, name+".yaml")}
	var b strings.Builder
	fmt.Fprintf(&b, "name: %q\nregion: %q\nfailureDomain: %q\nfailureDomains:\n", name, regionOf(zone), zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "  %q: %q\n", z, regionOf(z))
	}
	b.WriteString("listen:\n")
	for _, listener := range []string{"callers", "ready", "directory", "peers", "relay", "metrics"} {
		address, err := freeAddress(host)
		if err != nil {
			return nil, err
		}
		switch listener {
		case "callers":
			g.callers = address
		case "ready":
			g.ready = address
		}
		fmt.Fprintf(&b, "  %s: %q\n", listener, address)
	}
	fmt.Fprintf(&b, "capacity: 0.32\nbootstrap: true\nstore: %q\nlifetime: 2\ngrace: 6\nretryRatio: 0.2\nretrySlack: 56\n", store)
	b.WriteString("pipelining: {maxAhead: 8}\nlog: {level: info, format: json}\n")
	logs, err := newCollector(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	g.logs = logs
	return g, os.WriteFile(g.settings, []byte(b.String()), 0o600)
}

// start starts the process. Its output goes through a pipe to the collector.
func (g *gateway) start(binary string) error {
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	g.cmd = exec.Command(binary, "gateway")
	g.cmd.Env = append(os.Environ(), "CARDAMOMFRONT_SETTINGS="+g.settings)
	g.cmd.Stdout, g.cmd.Stderr = w, w
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	_ = w.Close()
	go g.logs.run(r)
	g.done = make(chan struct{})
	go func() {
		_ = g.cmd.Wait()
		close(g.done)
	}()
	return nil
}

// waitReady reports whether the process is ready within d.
func (g *gateway) waitReady(d time.Duration) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// stop stops the process with SIGTERM, and kills it after its grace time. It reports
// whether it ended by itself.
func (g *gateway) stop(grace time.Duration) bool {
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-g.done:
		return true
	case <-time.After(grace):
	}
	_ = g.cmd.Process.Kill()
	<-g.done
	return false
}
