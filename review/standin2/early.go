package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// answerBytes is the length of the answer to an upload.
	answerBytes = 400 << 10
	// earlyAfter is how much of the body the endpoint has read when it answers.
	earlyAfter = 128 << 10
	// pieceBytes and pieceInterval are the pace at which the client sends: 2 MB in
	// about 1.3 s, 700 KB in about 0.5 s.
	pieceBytes    = 16 << 10
	pieceInterval = 10 * time.Millisecond
)

// uploads are the lengths and framings that are played. The manifest allows 64 MB.
var uploads = []struct {
	bytes   int
	chunked bool
}{{2 << 20, false}, {2 << 20, true}, {700 << 10, false}, {700 << 10, true}}

// upload returns a body in which each eight bytes hold their position.
func upload(number int) []byte {
	b := make([]byte, uploads[number].bytes)
	for i := 0; i < len(b); i += 8 {
		binary.BigEndian.PutUint64(b[i:], uint64(number)<<32|uint64(i))
	}
	return b
}

// received is what an endpoint got of one upload.
type received struct {
	body  []byte
	whole bool // the body's end has arrived
}

// uploadEndpoint is an endpoint that takes uploads. It reads each body to its end. With
// early, it answers before it has read it.
type uploadEndpoint struct {
	id    string
	early bool
	rec   *recorder

	mu  sync.Mutex
	got map[string]*received
	wg  sync.WaitGroup
}

// serve serves one connection: one request at a time, and the next one when the body of
// the one before has been read.
func (e *uploadEndpoint) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if expected := r.Header.Get(wire.Headers.Expected); expected != "" && expected != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
			return
		}
		if r.URL.Path == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,3\r\nContent-Length: 0\r\n\r\n", e.id)
			continue
		}
		if !e.take(c, r) {
			return
		}
	}
}

// take runs one upload and reports whether the connection may be used again.
func (e *uploadEndpoint) take(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	got := &received{}
	e.got[id] = got
	e.mu.Unlock()
	e.rec.printf("run       %s at %s, length %d, encoding %v", id, e.id, r.ContentLength, r.TransferEncoding)
	answered := make(chan error, 1)
	answer := func() {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.1\r\nServer-Load: 1,0,3\r\nContent-Length: %d\r\n\r\n", id, id, answerBytes)
		_, err := c.Write(append([]byte(head), bytes.Repeat([]byte("r"), answerBytes)...))
		e.rec.printf("answered  %s by %s after %d bytes of the body, error %v", id, e.id, got.length(&e.mu), err)
		answered <- err
	}
	started := false
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buf)
		e.mu.Lock()
		got.body = append(got.body, buf[:n]...)
		length := len(got.body)
		e.mu.Unlock()
		if e.early && !started && length >= earlyAfter {
			started = true
			go answer()
		}
		if err != nil {
			e.mu.Lock()
			got.whole = err == io.EOF
			e.mu.Unlock()
			e.rec.printf("body end  %s at %s: %d bytes, %v", id, e.id, length, err)
			break
		}
	}
	if !started && got.whole {
		go answer()
		started = true
	}
	return started && <-answered == nil && got.whole
}

func (g *received) length(mu *sync.Mutex) int {
	mu.Lock()
	defer mu.Unlock()
	return len(g.body)
}

// sendUpload sends one upload as a client does and reads its answer meanwhile.
func sendUpload(rec *recorder, address string, number int) {
	chunked := uploads[number].chunked
	id := fmt.Sprintf("upload-%d", number)
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		rec.printf("failed    %s: %v", id, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	framing := fmt.Sprintf("Content-Length: %d", uploads[number].bytes)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	rec.printf("sent      %s, %d bytes, %s", id, uploads[number].bytes, framing)
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			rec.printf("answer    %s: %v", id, err)
			return
		}
		n, err := io.Copy(io.Discard, resp.Body)
		rec.printf("answer    %s: status %d, stamp %q, %d bytes, error %v", id, resp.StatusCode, resp.Header.Get(wire.Headers.Signature), n, err)
	}()
	body := upload(number)
	_, err = fmt.Fprintf(c, "POST /consign/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Token %s\r\n%s\r\n\r\n", number, hostName, id, teamKey, framing)
	sent := 0
	for sent < len(body) && err == nil {
		piece := body[sent:min(sent+pieceBytes, len(body))]
		if chunked {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
		} else {
			_, err = c.Write(piece)
		}
		if err == nil {
			sent += len(piece)
		}
		time.Sleep(pieceInterval)
	}
	if chunked && err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	rec.printf("body sent %s: %d bytes, error %v", id, sent, err)
	<-done
}

// runEarly plays the case and reports whether the rule was broken.
func runEarly(root, folder string, trouble bool) (broken bool, err error) {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "early")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	s, err := startStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	s.set("op", "config", manifest())
	var endpoints []*uploadEndpoint
	for i := range 2 {
		e := &uploadEndpoint{id: fmt.Sprintf("i-7f3a91c%d", i), early: trouble, rec: rec, got: make(map[string]*received)}
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
				e.wg.Go(func() { e.serve(c) })
			}
		}()
		go heartbeat(s, e.id, l.Addr().String(), "intake")
		endpoints = append(endpoints, e)
	}
	g, err := startGateway(root, dir, "front-kano-fagge-1", ownHost(), "kano-fagge", s.address, true)
	if err != nil {
		return false, err
	}
	defer g.stop()
	if err := g.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	for i := range uploads {
		sendUpload(rec, g.callers, i)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	ran := 0
	for _, e := range endpoints {
		e.mu.Lock()
		for i := range uploads {
			got, ok := e.got[fmt.Sprintf("upload-%d", i)]
			if !ok {
				continue
			}
			ran++
			want := upload(i)
			n := 0
			for n < min(len(want), len(got.body)) && want[n] == got.body[n] {
				n++
			}
			switch {
			case n < len(got.body):
				broken = true
				rec.printf("BROKEN    upload-%d: of %d bytes that %s got, those from %d on are not those that the client sent there (sent %x, got %x); end of the body seen: %v",
					i, len(got.body), e.id, n, want[n:min(len(want), n+8)], got.body[n:min(len(got.body), n+8)], got.whole)
			case got.whole && n < len(want):
				broken = true
				rec.printf("BROKEN    upload-%d: %s got the end of the body after %d bytes of %d", i, e.id, n, len(want))
			default:
				rec.printf("kept      upload-%d: all %d bytes that %s got are the client's; end of the body seen: %v", i, n, e.id, got.whole)
			}
		}
		e.mu.Unlock()
	}
	if ran == 0 {
		return false, fmt.Errorf("no upload ran")
	}
	return broken, nil
}

// heartbeat registers an endpoint in the store, as often as endpoints report.
func heartbeat(s *store, id, address, service string) {
	for seq := 1; ; seq++ {
		s.set("servers", id, entry(service, address, seq))
		time.Sleep(1500 * time.Millisecond)
	}
}
