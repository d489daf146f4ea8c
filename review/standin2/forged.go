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
	"time"
)

// serviceTarget is a target of one service, as PROTOCOL.md says: it runs a request that
// names it, and rejects one that names another.
type serviceTarget struct {
	id, service, address string
	rec                  *recorder

	mu     sync.Mutex
	ran    map[string]string                 // path of each request that it ran, by id
	forged func(entry map[string]any) string // makes the next entry of another writer, nil if there is none
}

func startTarget(rec *recorder, id, service string) (*serviceTarget, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &serviceTarget{id: id, service: service, address: l.Addr().String(), rec: rec, ran: make(map[string]string)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	return t, nil
}

func (t *serviceTarget) serve(c net.Conn) {
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
		t.ran[id] = r.URL.Path
		t.mu.Unlock()
		t.rec.printf("run       %s %s by %s of %s", id, r.URL.Path, t.id, t.service)
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.%s\r\nServer-Load: 0,0,3\r\nContent-Length: 5\r\n\r\nhello", id, t.id, id)
	}
}

// report writes the target's entry every 1.5 s, the settings' heartbeatS. Another writer
// may write one in between.
func (t *serviceTarget) report(s *store) {
	for seq := 1; ; seq++ {
		s.set("servers", t.id, entry(t.service, t.address, seq))
		time.Sleep(50 * time.Millisecond)
		t.mu.Lock()
		forged := t.forged
		t.forged = nil
		t.mu.Unlock()
		if forged != nil {
			e := entry(t.service, t.address, seq)
			what := forged(e)
			t.rec.printf("written   servers/%s of %s by another writer: %s", t.id, t.service, what)
			s.set("servers", t.id, e)
		}
		time.Sleep(1450 * time.Millisecond)
	}
}

// defects make an entry that names no target to use: a field is missing or of another
// type.
var defects = []struct {
	name  string
	apply func(map[string]any)
}{
	{"seq is missing", func(e map[string]any) { delete(e, "seq") }},
	{"coldLeftS is missing", func(e map[string]any) { delete(e, wire.Fields.ColdLeft) }},
	{"seq is null", func(e map[string]any) { e["seq"] = nil }},
	{"service is missing, there is Service", func(e map[string]any) { e["Service"] = e["service"]; delete(e, "service") }},
	// Entries with these defects are not used; they are the control.
	{"slots is missing", func(e map[string]any) { delete(e, "slots") }},
	{"seq is a text", func(e map[string]any) { e["seq"] = "1" }},
}

// runForged plays the case: another writer writes an entry under a ledger target's id
// that names the service of the tracker, and has a field missing or of another type.
func runForged(root, folder string, trouble bool) (broken bool, err error) {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "forged")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	s, err := startStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	s.set("op", "config", manifest())
	var targets []*serviceTarget
	for _, service := range []string{"tracker", "ledger", "intake"} {
		for i := range 3 {
			t, err := startTarget(rec, fmt.Sprintf("i-%s-%d", service, i), service)
			if err != nil {
				return false, err
			}
			go t.report(s)
			targets = append(targets, t)
		}
	}
	g, err := startGateway(root, dir, "front-kano-fagge-1", ownHost(), "kano-fagge", s.address, true)
	if err != nil {
		return false, err
	}
	defer g.stop()
	if err := g.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(time.Duration(len(defects))*5*time.Second + 2*time.Second)
	var clients sync.WaitGroup
	for i, path := range []string{"/status/", "/book/"} {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				sendOne(rec, g.callers, fmt.Sprintf("c%d-%d", i, n), path)
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	for i, d := range defects {
		time.Sleep(2 * time.Second)
		if trouble {
			// A target of each of two services, in turn: trackers' requests go to a
			// ledger target, and bookings to a tracker target.
			t, other := targets[3+i%3], "tracker"
			if i%2 == 1 {
				t, other = targets[i%3], "ledger"
			}
			t.mu.Lock()
			t.forged = func(e map[string]any) string {
				e["service"] = other
				d.apply(e)
				return fmt.Sprintf("it names %s, and %s", other, d.name)
			}
			t.mu.Unlock()
		}
		time.Sleep(3 * time.Second)
	}
	clients.Wait()
	services := map[string]string{"status": "tracker", "book": "ledger"}
	ran := 0
	for _, t := range targets {
		t.mu.Lock()
		for id, path := range t.ran {
			ran++
			allowed := services[strings.Split(path, "/")[1]]
			if allowed != t.service {
				broken = true
				rec.printf("BROKEN    %s %s was run by %s, a target of %s; every manifest sends it to %s", id, path, t.id, t.service, allowed)
			}
		}
		t.mu.Unlock()
	}
	rec.printf("%d requests ran", ran)
	if ran == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return broken, nil
}

// sendOne sends one request on a new connection, as a client does.
func sendOne(rec *recorder, address, id, path string) {
	method, length := http.MethodGet, ""
	if path == "/book/" {
		method, length = http.MethodPost, "Content-Length: 5\r\n"
	}
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		rec.printf("failed    %s: %v", id, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	text := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Token %s\r\n%s\r\n", method, path, id, hostName, id, teamKey, length)
	if method == http.MethodPost {
		text += "abcde"
	}
	rec.printf("sent      %s %s%s", id, path, id)
	if _, err := io.WriteString(c, text); err != nil {
		rec.printf("failed    %s: %v", id, err)
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		rec.printf("answer    %s: %v", id, err)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	rec.printf("answer    %s: status %d, stamp %q, error %v", id, resp.StatusCode, resp.Header.Get(wire.Headers.Signature), err)
}
