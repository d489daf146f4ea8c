package pipeline

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// pipes is a listener of in-memory connections.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close fails on a second call, as that of a TCP listener does.
func (l *pipes) Close() error {
	select {
	case <-l.done:
		return net.ErrClosed
	default:
		close(l.done)
		return nil
	}
}
func (l *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// backend is a handler whose requests wait until they are released. It holds what
// has reached it.
type backend struct {
	mu       sync.Mutex
	gates    map[string]chan struct{}
	started  []string
	canceled []string
	handle   func(w http.ResponseWriter, r *http.Request)
}

// gate returns the channel whose close releases the request of a path.
func (b *backend) gate(path string) chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gates[path] == nil {
		b.gates[path] = make(chan struct{})
	}
	return b.gates[path]
}

func (b *backend) release(paths ...string) {
	for _, p := range paths {
		close(b.gate(p))
	}
	synctest.Wait()
}

// list returns paths in alphabetical order: requests read ahead begin at the same
// time.
func (b *backend) list(l *[]string) string {
	synctest.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	return sorted(strings.Join(*l, " "))
}

func sorted(paths string) string {
	return strings.Join(slices.Sorted(slices.Values(strings.Fields(paths))), " ")
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	b.mu.Lock()
	b.started = append(b.started, path)
	b.mu.Unlock()
	if strings.HasPrefix(path, "/wait") {
		select {
		case <-b.gate(path):
		case <-r.Context().Done():
			b.mu.Lock()
			b.canceled = append(b.canceled, path)
			b.mu.Unlock()
		}
	}
	if b.handle != nil {
		b.handle(w, r)
		return
	}
	_, _ = io.WriteString(w, path)
}

// fixture is a server with one connection to it. Everything that the caller gets
// lies in got.
type fixture struct {
	*backend
	t      *testing.T
	server *Server
	caller net.Conn
	served chan error

	mu  sync.Mutex
	got strings.Builder
	end bool
}

func start(t *testing.T, s *Server) *fixture {
	f := &fixture{t: t, server: s, backend: &backend{gates: make(map[string]chan struct{})}, served: make(chan error, 1)}
	if s.Handler == nil {
		s.Handler = f.backend
	}
	if s.MaxAhead == 0 {
		s.MaxAhead = 8
	}
	s.ErrorLog = log.New(io.Discard, "", 0)
	s.MayRunAhead = func(r *http.Request) bool { return r.Method == http.MethodGet }
	l := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
	go func() { f.served <- s.Serve(l) }()
	near, far := net.Pipe()
	f.caller = near
	l.conns <- far
	go func() {
		b := make([]byte, 4096)
		for {
			n, err := near.Read(b)
			f.mu.Lock()
			f.got.Write(b[:n])
			f.end = err != nil
			f.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	t.Cleanup(func() {
		_ = near.Close()
		_ = s.Close()
		synctest.Wait()
		if held := s.pending.Load(); held != 0 || !s.held.TryAcquire(s.MaxHeldBytes) {
			t.Errorf("%d requests pending after the end, or bytes still held", held)
		}
	})
	return f
}

// send writes in the background: a pipe blocks until the server reads.
func (f *fixture) send(text string) {
	go func() { _, _ = io.WriteString(f.caller, text) }()
	synctest.Wait()
}

// bodies returns the answers' bodies and whether the connection has ended.
func (f *fixture) bodies() (string, bool) {
	f.t.Helper()
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	r := bufio.NewReader(strings.NewReader(f.got.String()))
	for {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return strings.Join(all, " "), f.end
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			f.t.Errorf("body of an answer: %v", err)
		}
		if response.StatusCode != 200 {
			body = fmt.Appendf(nil, "%d", response.StatusCode)
		}
		all = append(all, string(body))
	}
}

func (f *fixture) want(started, bodies string, end bool) {
	f.t.Helper()
	if got := f.list(&f.started); got != sorted(started) {
		f.t.Errorf("started %q, want %q", got, started)
	}
	if got, ended := f.bodies(); got != bodies || ended != end {
		f.t.Errorf("answers %q, ended %v; want %q, %v", got, ended, bodies, end)
	}
}

func get(paths ...string) string {
	var b strings.Builder
	for _, p := range paths {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", p)
	}
	return b.String()
}

func bubble(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

const post = "POST /post HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"

// Guards against answers in the order of their completion, and against requests that
// wait for each other.
func TestOrder(t *testing.T) {
	for name, split := range map[string]int{"at once": 0, "byte by byte": 1, "in two": 50, "last byte apart": -1} {
		bubble(t, name, func(t *testing.T) {
			f := start(t, &Server{})
			text := get("/wait1", "/wait2", "/wait3", "/4")
			if split <= 0 {
				split += len(text)
			}
			for len(text) > 0 {
				n := min(split, len(text))
				f.send(text[:n])
				text = text[n:]
			}
			f.want("/wait1 /wait2 /wait3 /4", "", false)
			f.release("/wait3", "/wait2")
			if got, _ := f.bodies(); got != "" {
				t.Errorf("answered %q before the first request", got)
			}
			f.release("/wait1")
			if got, end := f.bodies(); got != "/wait1 /wait2 /wait3 /4" || end {
				t.Errorf("answers %q, ended %v", got, end)
			}
			if n := f.server.Stats().ReadAhead; n != 3 {
				t.Errorf("%d read ahead, want 3", n)
			}
		})
	}
}

// Guards against a bound that a flood exceeds, and against requests that are lost or
// run twice beyond it.
func TestThousandRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, &Server{})
		var paths []string
		for i := range 1000 {
			paths = append(paths, fmt.Sprintf("/%d", i))
		}
		f.send(get("/wait") + get(paths...))
		f.want("/wait /0 /1 /2 /3 /4 /5 /6 /7", "", false)
		f.release("/wait")
		if got, _ := f.bodies(); got != "/wait "+strings.Join(paths, " ") {
			t.Error("answers are missing or in another order")
		}
		if got := len(strings.Fields(f.list(&f.started))); got != 1001 {
			t.Errorf("%d runs, want 1001", got)
		}
		if f.server.Stats().Bounded == 0 {
			t.Error("the bound was not counted")
		}
	})
}

// Guards against a request that is not idempotent, or has a body, before its turn or
// twice, and against anything read behind it.
func TestOthersWaitForTheirTurn(t *testing.T) {
	for name, other := range map[string]string{
		"body":                   post,
		"no body":                "DELETE /post HTTP/1.1\r\nHost: h\r\n\r\n",
		"idempotent with a body": "GET /post HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
		"chunked":                "GET /post HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"line breaks behind":     post + "\r\n",
	} {
		bubble(t, name, func(t *testing.T) {
			f := start(t, &Server{})
			f.send(get("/wait1", "/2") + other + get("/wait3", "/4"))
			f.want("/wait1 /2", "", false)
			f.release("/wait1")
			started := "/wait1 /2 /post /wait3 /4"
			if name == "chunked" { // the next boundary is unknown
				started = "/wait1 /2 /post /wait3"
			}
			f.want(started, "/wait1 /2 /post", false)
			f.release("/wait3")
			f.want("/wait1 /2 /post /wait3 /4", "/wait1 /2 /post /wait3 /4", false)
		})
	}
	bubble(t, "nothing is read behind", func(t *testing.T) {
		f := start(t, &Server{})
		f.send("POST /wait1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + get("/2"))
		f.want("/wait1", "", false)
		f.release("/wait1")
		f.want("/wait1 /2", "/wait1 /2", false)
	})
}

// Guards against a request that runs, or is answered, behind an answer that closes
// the connection, and against the loss of one before it.
func TestClosingAnswer(t *testing.T) {
	closing := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait2" || r.URL.Path == "/wait3" {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}
	bubble(t, "in the middle", func(t *testing.T) {
		f := start(t, &Server{MaxAhead: 2})
		f.handle = closing
		f.send(get("/wait1", "/wait2", "/wait3", "/4") + post)
		f.release("/wait2")
		if got := f.list(&f.canceled); got != "/wait3" {
			t.Errorf("cancelled %q, want the request behind the closing answer", got)
		}
		f.release("/wait1")
		f.want("/wait1 /wait2 /wait3", "/wait1 /wait2", true)
		if s := f.server.Stats(); s.Dropped != 1 || s.Cancelled != 0 {
			t.Errorf("counted %+v", s)
		}
	})
	bubble(t, "first", func(t *testing.T) {
		f := start(t, &Server{})
		f.handle = closing
		f.send(get("/wait2", "/wait4") + post)
		f.release("/wait2")
		f.want("/wait2 /wait4", "/wait2", true)
		if got := f.list(&f.canceled); got != "/wait4" {
			t.Errorf("cancelled %q", got)
		}
	})
	bubble(t, "asked for by the caller", func(t *testing.T) {
		f := start(t, &Server{})
		f.send(get("/wait1") + "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/3"))
		f.release("/wait1")
		f.want("/wait1 /2", "/wait1 /2", true)
	})
	bubble(t, "panic", func(t *testing.T) {
		f := start(t, &Server{})
		f.handle = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/2" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}
		f.send(get("/wait1", "/2", "/wait3"))
		if got := f.list(&f.canceled); got != "/wait3" {
			t.Errorf("cancelled %q", got)
		}
		f.release("/wait1")
		f.want("/wait1 /2 /wait3", "/wait1", true)
	})
}

// Guards against requests that go on, or begin, after their caller has left.
func TestCallerLeaves(t *testing.T) {
	for name, test := range map[string]struct{ text, started, canceled string }{
		"one request":        {get("/wait1"), "/wait1", "/wait1"},
		"read ahead":         {get("/wait1", "/wait2") + post, "/wait1 /wait2", "/wait1 /wait2"},
		"part of a request":  {get("/wait1") + "G", "/wait1", "/wait1"},
		"not idempotent":     {"DELETE /wait1 HTTP/1.1\r\nHost: h\r\n\r\n" + post, "/wait1", "/wait1"},
		"beyond the bound":   {get("/wait1", "/2", "/3", "/4", "/5", "/6", "/7", "/8", "/9", "/10", "/11"), "/wait1 /2 /3 /4 /5 /6 /7 /8 /9", "/wait1"},
		"behind a long body": {"POST /wait1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000) + get("/2"), "/wait1", "/wait1"},
	} {
		bubble(t, name, func(t *testing.T) {
			f := start(t, &Server{})
			f.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				f.ServeHTTP(w, r)
			})
			f.send(test.text)
			_ = f.caller.Close()
			started, canceled := f.list(&f.started), f.list(&f.canceled)
			if started != sorted(test.started) || canceled != sorted(test.canceled) {
				t.Errorf("started %q, cancelled %q; want %q, %q", started, canceled, test.started, test.canceled)
			}
		})
	}
}

// Guards against answers behind a slow one that take memory without bound, or that
// never leave since they wait for room.
func TestHeldAnswersAreBounded(t *testing.T) {
	for name, size := range map[string]int{"small answers": 40 << 10, "large answers": 700 << 10} {
		bubble(t, name, func(t *testing.T) {
			f := start(t, &Server{MaxHeldBytes: 100 << 10})
			written := make(map[string]int)
			f.handle = func(w http.ResponseWriter, r *http.Request) {
				for range size >> 10 {
					if n, err := w.Write(make([]byte, 1<<10)); err == nil {
						f.backend.mu.Lock()
						written[r.URL.Path] += n
						f.backend.mu.Unlock()
					}
				}
			}
			f.send(get("/wait1", "/2", "/3", "/4", "/5"))
			synctest.Wait()
			f.backend.mu.Lock()
			held := 0
			for _, n := range written {
				held += n
			}
			f.backend.mu.Unlock()
			if held > 100<<10 || held < 50<<10 {
				t.Errorf("%d bytes held", held)
			}
			f.release("/wait1")
			if got, _ := f.bodies(); len(got) != 5*size>>10<<10+4 {
				t.Errorf("%d bytes answered", len(got))
			}
		})
	}
	bubble(t, "caller leaves", func(t *testing.T) {
		f := start(t, &Server{MaxHeldBytes: 100 << 10})
		f.handle = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 90<<10)) }
		f.send(get("/wait1", "/2", "/3"))
		_ = f.caller.Close() // the fixture checks that nothing is held
	})
}

// Guards against a stop that cuts requests off that have been passed on, or that
// takes on further ones.
func TestShutdown(t *testing.T) {
	bubble(t, "graceful", func(t *testing.T) {
		f := start(t, &Server{})
		f.send(get("/wait1", "/wait2"))
		ended := make(chan error, 1)
		go func() { ended <- f.server.Shutdown(t.Context()) }()
		synctest.Wait()
		f.send(get("/3"))
		f.release("/wait2", "/wait1")
		time.Sleep(time.Second)
		f.want("/wait1 /wait2", "/wait1 /wait2", true)
		if err := <-ended; err != nil {
			t.Errorf("Shutdown: %v", err)
		}
		if err := <-f.served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve: %v", err)
		}
	})
	bubble(t, "out of time", func(t *testing.T) {
		f := start(t, &Server{})
		f.send(get("/wait1", "/wait2"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := f.server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Shutdown: %v", err)
		}
		_ = f.server.Close()
		if got := f.list(&f.canceled); got != "/wait1 /wait2" {
			t.Errorf("cancelled %q by Close", got)
		}
	})
}

// Guards against a run of a request that net/http refuses, and against its
// refusal before the answers to those before it.
func TestBadRequestBehindAGoodOne(t *testing.T) {
	for name, test := range map[string]struct{ bad, status string }{
		"no request":            {"GARBAGE\r\n\r\n", "400"},
		"no host":               {"GET /2 HTTP/1.1\r\n\r\n", "400"},
		"two hosts":             {"GET /2 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
		"bad host":              {"GET /2 HTTP/1.1\r\nHost: a b\r\n\r\n", "400"},
		"bad value":             {"GET /2 HTTP/1.1\r\nHost: a\r\nX: a\x01b\r\n\r\n", "400"},
		"bad name":              {"GET /2 HTTP/1.1\r\nHost: a\r\nX y: b\r\n\r\n", "400"},
		"absolute without host": {"GET http://a/2 HTTP/1.1\r\n\r\n", "400"},
		"conflicting lengths":   {"GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n", "400"},
		"unknown encoding":      {"GET /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n", "501"},
		"version":               {"GET /2 HTTP/3.0\r\nHost: a\r\n\r\n", "505"},
		"expectation":           {"GET /2 HTTP/1.1\r\nHost: a\r\nExpect: x\r\n\r\n", "417"},
		"too large":             {"GET /2 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", "431"},
		"empty line":            {"\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
	} {
		bubble(t, name, func(t *testing.T) {
			f := start(t, &Server{MaxHeaderBytes: 64 << 10})
			f.send(get("/wait1") + test.bad + get("/3"))
			f.want("/wait1", "", false)
			f.release("/wait1")
			time.Sleep(time.Second) // net/http waits before it closes
			f.want("/wait1", "/wait1 "+test.status, true)
		})
	}
}
