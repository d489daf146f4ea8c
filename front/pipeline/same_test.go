package pipeline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// deeds answers as the query asks, and reports a context that ends early.
func deeds(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Has("close") {
		w.Header().Set("Connection", "close")
	}
	if q.Has("trailer") {
		w.Header().Set("Trailer", "X-After")
		defer func() { w.Header().Set("X-After", "1") }()
	}
	if n, err := strconv.Atoi(q.Get("length")); err == nil {
		w.Header().Set("Content-Length", strconv.Itoa(n))
	}
	if !q.Has("unread") {
		body, err := io.ReadAll(r.Body)
		defer func() { fmt.Fprintf(w, "%s %s %s%q %v %v", r.Method, r.Host, r.RequestURI, body, err, r.Header) }()
	}
	if status, err := strconv.Atoi(q.Get("status")); err == nil {
		w.WriteHeader(status)
	}
	if wait, err := time.ParseDuration(q.Get("wait")); err == nil {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			_, _ = io.WriteString(w, "cancelled")
		}
	}
	if n, err := strconv.Atoi(q.Get("write")); err == nil {
		_, _ = w.Write(bytes.Repeat([]byte("x"), n))
	}
	if q.Has("flush") {
		_ = http.NewResponseController(w).Flush()
	}
	if q.Has("abort") {
		panic(http.ErrAbortHandler)
	}
	if q.Has("panic") {
		panic("fault")
	}
}

// received is what a caller has got.
type received struct {
	mu   sync.Mutex
	text []byte
}

func (r *received) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text = append(r.text, p...)
	return len(p), nil
}

func (r *received) take() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := string(r.text)
	r.text = nil
	return text
}

// play sends the parts of an exchange, a second apart, and returns what the caller
// had got after each of them, and a minute later.
func play(t *testing.T, serve func(net.Listener), parts []string) (transcript string) {
	synctest.Test(t, func(*testing.T) {
		l := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
		go serve(l)
		near, far := net.Pipe()
		l.conns <- far
		var got received
		go func() {
			_, err := io.Copy(&got, near)
			fmt.Fprintf(&got, "<end %v>", err)
		}()
		for _, part := range append(parts, "") {
			go func() { _, _ = io.WriteString(near, part) }()
			time.Sleep(time.Second)
			synctest.Wait()
			transcript += got.take() + "<a second later>"
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		transcript += got.take()
		_ = near.Close()
		_ = l.Close()
		synctest.Wait()
	})
	return transcript
}

// unchunked returns a transcript without the sizes of chunks, and without the body of
// an answer that was cut off: an answer that has waited for its turn is written at
// once, so its chunks, and what of them leaves before an abort, are others.
func unchunked(transcript string) string {
	var all strings.Builder
	r := bufio.NewReader(strings.NewReader(transcript))
	for {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			rest, _ := io.ReadAll(r)
			return fmt.Sprintf("%s%v %s", all.String(), err, rest)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			body = nil
		}
		fmt.Fprintln(&all, response.Status, response.Header, response.TransferEncoding, string(body), err, response.Trailer)
	}
}

// exchanges are played against net/http's server and this one. Parts of an exchange
// arrive one after the other.
func exchanges() map[string][]string {
	const end = " HTTP/1.1\r\nHost: h\r\n"
	chunks := "POST /" + end + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	all := map[string][]string{
		"keep-alive":              {get("/1"), get("/2")},
		"close by the caller":     {"GET /" + end + "Connection: close\r\n\r\n"},
		"close by the handler":    {get("/?close"), get("/2")},
		"1.0":                     {"GET / HTTP/1.0\r\n\r\n"},
		"1.0 keep-alive":          {"GET /?length=200 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", get("/2")},
		"head":                    {"HEAD /?write=10" + end + "\r\n", get("/2")},
		"no body allowed":         {get("/?status=204"), get("/?status=304"), get("/2")},
		"length":                  {get("/?length=5&write=5&unread"), get("/2")},
		"too short an answer":     {get("/?length=9&write=5&unread"), get("/2")},
		"too long an answer":      {get("/?length=2&write=5"), get("/2")},
		"chunked answer":          {get("/?write=9000"), get("/?flush"), get("/?trailer&flush"), get("/2")},
		"abort":                   {get("/?write=9000&abort")},
		"abort before the answer": {get("/?abort")},
		"panic":                   {get("/?panic")},
		"body":                    {post, post[:20], post[20:], get("/2")},
		"body behind its head":    {post[:len(post)-2], "ab", get("/2")},
		"line breaks behind body": {post, "\r\n" + get("/2")},
		"chunked body":            {chunks, chunks[:len(chunks)-9], chunks[len(chunks)-9:], get("/2")},
		"bad chunk":               {"POST /" + end + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", get("/2")},
		"unread body":             {"POST /?unread" + end + "Content-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000), get("/2")},
		"large unread body":       {"POST /?unread" + end + "Content-Length: 300000\r\n\r\n" + strings.Repeat("x", 300000), get("/2")},
		"continue":                {"POST /" + end + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n", "ab", get("/2")},
		"continue, body unread":   {"POST /?unread" + end + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n", get("/2")},
		"other expectation":       {"POST /" + end + "Expect: x\r\nContent-Length: 2\r\n\r\n"},
		"options":                 {"OPTIONS *" + end + "\r\n", get("/2"), get("/3")},
		"length and encoding":     {"POST /" + end + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", get("/2")},
		"two lengths":             {"POST /" + end + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
		"bad length":              {"POST /" + end + "Content-Length: -3\r\n\r\nabcd"},
		"bad encoding":            {"POST /" + end + "Transfer-Encoding: chunked, chunked\r\n\r\n"},
		"space before colon":      {"GET /" + end + "Content-Length : 3\r\n\r\n"},
		"folded line":             {"GET /" + end + "X: a\r\n b\r\n\r\n", get("/2")},
		"bare line feeds":         {"GET / HTTP/1.1\nHost: h\n\n", get("/2")},
		"no host":                 {"GET / HTTP/1.1\r\n\r\n"},
		"large head":              {"GET /" + end + "X: " + strings.Repeat("x", 80<<10) + "\r\n\r\n"},
		"slow head":               {"GET / HT"},
		"slow second head":        {get("/1"), "GET / HT"},
		"slow body":               {post[:len(post)-1]},
		"upgrade":                 {"GET /" + end + "Connection: Upgrade\r\nUpgrade: x\r\n\r\n", get("/2")},
		"connect":                 {"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", get("/2")},
		"absolute":                {"GET http://a/ HTTP/1.1\r\nHost: b\r\n\r\n", get("/2")},
		"http/2":                  {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"},
	}
	// Sent at once, the same exchanges must get the same answers, but for the sizes of
	// chunks.
	for name, parts := range maps.Clone(all) {
		all[name+", pipelined"] = []string{get("/?wait=100ms") + strings.Join(parts, "") + get("/end")}
	}
	return all
}

// Guards against any difference that a caller could see between this server and
// net/http's.
func TestSameAsNetHTTP(t *testing.T) {
	const maxHeaderBytes, headerTimeout, idleTimeout = 64 << 10, 10 * time.Second, 30 * time.Second
	quiet := log.New(io.Discard, "", 0)
	for name, parts := range exchanges() {
		t.Run(name, func(t *testing.T) {
			want := play(t, func(l net.Listener) {
				s := http.Server{Handler: http.HandlerFunc(deeds), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: quiet}
				_ = s.Serve(l)
			}, parts)
			got := play(t, func(l net.Listener) {
				s := Server{
					Handler: http.HandlerFunc(deeds), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: quiet,
					MaxAhead: 8, MayRunAhead: func(r *http.Request) bool { return r.Method == http.MethodGet || r.Method == http.MethodHead },
				}
				_ = s.Serve(l)
			}, parts)
			if strings.HasSuffix(name, "pipelined") {
				got, want = unchunked(got), unchunked(want)
			}
			if got != want {
				same := 0
				for same < min(len(got), len(want)) && got[same] == want[same] {
					same++
				}
				t.Errorf("from byte %d:\n%.500q\nnet/http:\n%.500q", same, got[same:], want[same:])
			}
		})
	}
}

// FuzzHeadEnd guards against a boundary that differs from where http.ReadRequest
// stops reading, which would make a part of one message another request.
func FuzzHeadEnd(f *testing.F) {
	for _, parts := range exchanges() {
		f.Add([]byte(strings.Join(parts, "")))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		source := bytes.NewReader(stream)
		buffered := bufio.NewReader(source)
		if _, err := http.ReadRequest(buffered); err != nil {
			return
		}
		read := len(stream) - source.Len() - buffered.Buffered()
		length, resume := -1, 0
		for n := range len(stream) + 1 { // as if byte by byte
			if length, resume = headEnd(stream[:n], resume); length >= 0 {
				break
			}
		}
		if length != read {
			t.Errorf("the head of %q ends at %d, want %d", stream, length, read)
		}
	})
}
