package e2e

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// waitTimeout bounds each wait for a condition, such as readiness of a process.
// It is far above the time needed, so that load on the machine fails no test.
const waitTimeout = 60 * time.Second

// binDir is the folder with the binaries under test.
var binDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the binaries, runs the tests and removes the binaries.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cardamomfront")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running command under test.
type process struct {
	name string
	cmd  *exec.Cmd
	out  *lockedBuffer
	done chan struct{}
	err  error
}

// lockedBuffer collects the output of a process.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// start starts a binary and kills it when the test ends. The output is logged
// if the test failed.
func start(t *testing.T, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{name: name, out: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binDir, binary), args...)
	p.cmd.Stdout = p.out
	p.cmd.Stderr = p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("--- output of %s\n%s", name, p.out)
		}
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// stop stops the process gracefully and fails the test if it does not exit with
// status 0.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	p.waitStopped(t)
}

// waitStopped waits until the process has exited and fails the test if its exit
// status is not 0.
func (p *process) waitStopped(t *testing.T) {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not stop", p.name)
	}
	if p.err != nil {
		t.Fatalf("%s: %v", p.name, p.err)
	}
}

// ctl runs cardamomctl and returns its output and exit code.
func ctl(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "cardamomctl"), args...)
	out, err := cmd.CombinedOutput()
	if exit, ok := err.(*exec.ExitError); ok { //nolint:errorlint // returned unwrapped
		return string(out), exit.ExitCode()
	}
	if err != nil {
		t.Fatalf("cardamomctl %s: %v", strings.Join(args, " "), err)
	}
	return string(out), 0
}

// mustCtl runs cardamomctl and fails the test unless it succeeds.
func mustCtl(t *testing.T, args ...string) string {
	t.Helper()
	out, code := ctl(t, args...)
	if code != 0 {
		t.Fatalf("cardamomctl %s: exit %d\n%s", strings.Join(args, " "), code, out)
	}
	return out
}

// The ports of the processes lie below the ephemeral port range, so that no
// outgoing connection takes a port between its choice and its use. Each port is
// chosen once.
const (
	firstPort = 20_000
	portCount = 10_000
)

// nextPort is the last chosen port as an offset from firstPort, modulo
// portCount. It starts at a random value,
// because other runs of these tests may use the same range at the same time.
var nextPort = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(rand.Uint32N(portCount))
	return &n
}()

// freeAddress returns an address on ip with a port that is not in use.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("%s:%d", ip, firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // the port is in use
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
	t.Fatalf("no free port on %s", ip)
	return ""
}

// eventually polls check until it returns nil and fails the test after
// waitTimeout.
func eventually(t *testing.T, desc string, check func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", desc, err)
}
