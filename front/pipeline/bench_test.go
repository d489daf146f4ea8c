package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkOneAfterTheOther compares the cost of a caller that does not pipeline.
func BenchmarkOneAfterTheOther(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	type server interface {
		Serve(l net.Listener) error
		Close() error
	}
	for name, newServer := range map[string]func() server{
		"net-http": func() server { return &http.Server{Handler: handler} },
		"pipeline": func() server {
			return &Server{Handler: handler, MaxAhead: 8, MayRunAhead: func(*http.Request) bool { return true }}
		},
	} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := newServer()
			go func() { _ = s.Serve(l) }()
			defer func() { _ = s.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			r := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
