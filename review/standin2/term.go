package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// termClients is the number of clients that send ahead; termDepth how many requests
	// of each wait for their answers at most; termEvery the time between two requests.
	// Half of the clients send a booking first, and safe requests behind it.
	termClients = 8
	termDepth   = 6
	termEvery   = 30 * time.Millisecond
	// termAnswer is the length of an answer: the longest of the deployment's.
	termAnswer = 30000
	// termWork is how long a target works on a request.
	termWork = 120 * time.Millisecond
	// termStops is how often an instance is stopped.
	termStops = 6
	// grace is graceS.
	grace = 6 * time.Second
)

// termTarget is a sound target.
type termTarget struct {
	id  string
	rec *recorder

	mu  sync.Mutex
	ran map[string]bool
}

func (t *termTarget) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id, expected := r.Header.Get("Request-Id"), r.Header.Get(wire.Headers.Expected)
		switch {
		case expected != "" && expected != t.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", t.id)
			continue
		case id == "":
			fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		t.mu.Lock()
		t.ran[id] = true
		t.mu.Unlock()
		t.rec.printf("run       %s by %s", id, t.id)
		time.Sleep(termWork)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.%s\r\nServer-Load: 0,0,3\r\nContent-Length: %d\r\n\r\n", id, t.id, id, termAnswer)
		if _, err := io.WriteString(c, head+strings.Repeat("a", termAnswer)); err != nil {
			return
		}
	}
}

// termClient sends status enquiries ahead on one connection after the other.
type termClient struct {
	rec   *recorder
	name  string
	books bool // it sends bookings as well

	mu  sync.Mutex
	cut []string // requests whose connection ended without a complete answer
}

func (a *termClient) connection(address, name string, end time.Time) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(60 * time.Second))
	waiting := make(chan string, termDepth)
	closing := make(chan struct{}) // the answer that is arriving closes the connection
	var outstanding, bookings atomic.Int32
	go func() {
		defer close(waiting)
		for n := 0; time.Now().Before(end); {
			select {
			case <-closing:
				return
			case <-time.After(termEvery):
			}
			// Only safe requests are sent before the first request has been answered.
			// Behind a booking they are sent until it has been answered.
			first := outstanding.Load() == 0
			if outstanding.Load() >= termDepth || a.books && !first && bookings.Load() == 0 {
				continue
			}
			id, head, body := fmt.Sprintf("%s-%d-status", name, n), "GET /status/", "\r\n"
			if a.books && first {
				id, head, body = fmt.Sprintf("%s-%d-book", name, n), "POST /book/", "Content-Length: 5\r\n\r\nabcde"
				bookings.Add(1)
			}
			n++
			outstanding.Add(1)
			waiting <- id
			if _, err := fmt.Fprintf(c, "%s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Token %s\r\n%s", head, id, hostName, id, teamKey, body); err != nil {
				return
			}
			a.rec.printf("sent      %s", id)
		}
	}()
	in := bufio.NewReader(c)
	closed := false
	for id := range waiting {
		if closed {
			continue // behind the answer that closed the connection: not read
		}
		resp, err := http.ReadResponse(in, nil)
		if err == nil && resp.Close {
			closed = true
			close(closing)
		}
		n := int64(0)
		if err == nil {
			n, err = io.Copy(io.Discard, resp.Body)
		}
		outstanding.Add(-1)
		if strings.HasSuffix(id, "book") {
			bookings.Add(-1)
		}
		if err == nil {
			a.rec.printf("answer    %s: status %d, whole, closes %v", id, resp.StatusCode, resp.Close)
			continue
		}
		status := 0
		if resp != nil {
			status = resp.StatusCode
		}
		a.rec.printf("answer    %s: status %d, %d bytes, then %v", id, status, n, err)
		a.mu.Lock()
		a.cut = append(a.cut, id)
		a.mu.Unlock()
		if !closed {
			closed = true
			close(closing)
		}
	}
}

// runTerm plays the case: an instance is stopped and started again while clients send
// ahead.
func runTerm(root, folder string, trouble bool) (broken bool, err error) {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "term")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	s, err := startStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	m := manifest()
	m["tenants"].([]any)[0].(map[string]any)["ratePerS"] = 0 // no limit
	s.set("op", "config", m)
	var targets []*termTarget
	for i := range 26 {
		service := "tracker"
		if i >= 14 {
			service = "ledger"
		}
		t := &termTarget{id: fmt.Sprintf("i-%s-%d", service, i), rec: rec, ran: make(map[string]bool)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go t.serve(c)
			}
		}()
		go heartbeat(s, t.id, l.Addr().String(), service)
		targets = append(targets, t)
	}
	var clients []*termClient
	for i := range termClients {
		clients = append(clients, &termClient{rec: rec, name: fmt.Sprintf("c%d", i), books: i%2 == 1})
	}
	for round := range termStops {
		g, err := startGateway(root, dir, "front-kano-fagge-1", ownHost(), "kano-fagge", s.address, round == 0)
		if err != nil {
			return false, err
		}
		if err := g.waitReady(15 * time.Second); err != nil {
			g.stop()
			return false, err
		}
		address, err := startLink(g.callers)
		if err != nil {
			g.stop()
			return false, err
		}
		time.Sleep(3 * time.Second) // stabilityS
		// Clients make new connections until 1.5 s after the SIGTERM: the directory's last
		// answer before it counts for 2 s.
		end := time.Now().Add(5 * time.Second)
		var running sync.WaitGroup
		for _, a := range clients {
			running.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					a.connection(address, fmt.Sprintf("%s-%d-%d", a.name, round, n), end)
				}
			})
		}
		time.Sleep(3500 * time.Millisecond)
		term := time.Now()
		if trouble {
			rec.printf("SIGTERM   to the instance, stop %d", round)
			_ = g.cmd.Process.Signal(syscall.SIGTERM)
		}
		running.Wait()
		if trouble {
			select {
			case <-g.exited:
				rec.printf("ended     the instance, %v", g.err)
			case <-time.After(time.Until(term.Add(grace))):
				rec.printf("killed    the instance at the end of graceS")
			}
		}
		g.stop()
	}
	ran := make(map[string]string)
	for _, t := range targets {
		t.mu.Lock()
		for id := range t.ran {
			ran[id] = t.id
		}
		t.mu.Unlock()
	}
	lost := 0
	for _, a := range clients {
		for _, id := range a.cut {
			if ran[id] != "" {
				lost++
				rec.printf("LOST      %s was passed on to %s, and its connection ended without a complete answer", id, ran[id])
			}
		}
	}
	rec.printf("%d requests ran, %d lost", len(ran), lost)
	if len(ran) == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return lost > 0, nil
}
