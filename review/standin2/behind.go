package main

import (
	"bufio"
	"errors"
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

const (
	// behindFor is how long the clients send.
	behindFor = 40 * time.Second
	// behindClients is the number of clients that send ahead, behindBatch how many
	// requests each sends at a time.
	behindClients = 3
	behindBatch   = 6
	// endlessEvery is the share of the answers of the target in trouble that have no end:
	// one of so many.
	endlessEvery = 3
)

// aheadTarget is a target that answers status enquiries. In trouble, some of its answers
// have a body without end, until its caller closes.
type aheadTarget struct {
	id      string
	trouble bool
	rec     *recorder

	mu      sync.Mutex
	answers int
	ran     map[string]bool
}

func (t *aheadTarget) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id, expected := r.Header.Get("Request-Id"), r.Header.Get(wire.Headers.Expected)
		if expected != "" && expected != t.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", t.id)
			continue
		}
		if id == "" {
			fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		t.mu.Lock()
		t.ran[id] = true
		t.answers++
		endless := t.trouble && t.answers%endlessEvery == 0
		t.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.%s\r\nServer-Load: 0,0,3\r\n", id, t.id, id)
		if !endless {
			t.rec.printf("run       %s by %s, answered whole", id, t.id)
			_, err = io.WriteString(c, head+"Content-Length: 400\r\n\r\n"+strings.Repeat("s", 400))
			if err != nil {
				return
			}
			continue
		}
		t.rec.printf("run       %s by %s, which is in trouble: the answer's body has no end", id, t.id)
		_, err = io.WriteString(c, head+"\r\n")
		for err == nil {
			_, err = io.WriteString(c, strings.Repeat("x", 16<<10))
			time.Sleep(5 * time.Millisecond)
		}
		return
	}
}

// aheadClient sends status enquiries on kept connections, some before the first one has
// been answered.
type aheadClient struct {
	rec     *recorder
	address string
	name    string

	mu sync.Mutex
	// unanswered are the requests sent whole on a kept connection, after its first answer,
	// that the instance closed without an answer to them.
	unanswered []string
}

func (a *aheadClient) run(end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		a.connection(fmt.Sprintf("%s-%d", a.name, n), end)
	}
}

// connection uses one connection until it is closed.
func (a *aheadClient) connection(name string, end time.Time) {
	c, err := net.DialTimeout("tcp", a.address, time.Second)
	if err != nil {
		a.rec.printf("failed    connection %s: %v", name, err)
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for batch := 0; time.Now().Before(end); batch++ {
		size := behindBatch
		if batch == 0 {
			size = 1 // the connection is kept from its first answer on
		}
		var ids []string
		text := ""
		for i := range size {
			id := fmt.Sprintf("%s-%d-%d", name, batch, i)
			ids = append(ids, id)
			text += fmt.Sprintf("GET /status/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Token %s\r\n\r\n", id, hostName, id, teamKey)
		}
		if _, err := io.WriteString(c, text); err != nil {
			a.rec.printf("failed    %s: %v", name, err)
			return
		}
		a.rec.printf("sent      %s", strings.Join(ids, " "))
		// Longer than any time limit, so that the instance closes and not the client.
		_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
		for i, id := range ids {
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err == nil {
				a.rec.printf("answer    %s: status %d", id, resp.StatusCode)
				if resp.Close {
					return // what is behind counts as not read
				}
				continue
			}
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				a.rec.printf("answer    %s: none in 15 s", id)
				return
			}
			begun := resp != nil
			a.rec.printf("answer    %s: begun %v, cut: %v", id, begun, err)
			rest := ids[i:]
			if begun {
				rest = ids[i+1:]
			}
			if batch > 0 && len(rest) > 0 {
				a.rec.printf("closed    without an answer to %s", strings.Join(rest, " "))
				a.mu.Lock()
				a.unanswered = append(a.unanswered, rest...)
				a.mu.Unlock()
			}
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// runBehind plays the case: an answer without end, on a connection on which further
// requests wait for their turn.
func runBehind(root, folder string, trouble bool) (broken bool, err error) {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "behind")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	s, err := startStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	s.set("op", "config", manifest())
	var targets []*aheadTarget
	for i := range 8 {
		t := &aheadTarget{id: fmt.Sprintf("i-tracker-%d", i), trouble: trouble && i == 0, rec: rec, ran: make(map[string]bool)}
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
		go heartbeat(s, t.id, l.Addr().String(), "tracker")
		targets = append(targets, t)
	}
	g, err := startGateway(root, dir, "front-kano-fagge-1", ownHost(), "kano-fagge", s.address, true)
	if err != nil {
		return false, err
	}
	defer g.stop()
	if err := g.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // stabilityS, from the start of the instance
	end := time.Now().Add(behindFor)
	var clients []*aheadClient
	var running sync.WaitGroup
	for i := range behindClients {
		a := &aheadClient{rec: rec, address: g.callers, name: fmt.Sprintf("c%d", i)}
		clients = append(clients, a)
		running.Go(func() { a.run(end) })
	}
	running.Wait()
	time.Sleep(500 * time.Millisecond)
	lost, ran := 0, 0
	for _, t := range targets {
		t.mu.Lock()
		ran += len(t.ran)
	}
	for _, a := range clients {
		for _, id := range a.unanswered {
			for _, t := range targets {
				if t.ran[id] && !t.trouble {
					lost++
					rec.printf("LOST      %s was passed on to %s, a sound target, and its kept connection closed without an answer", id, t.id)
				}
			}
		}
	}
	rec.printf("%d requests ran; %d passed on to a sound target from a kept connection that was closed without an answer; the rule allows 3", ran, lost)
	if ran == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return lost > 3, nil
}
