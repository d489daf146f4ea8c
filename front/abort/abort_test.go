package abort

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// The recipient of a part of a response must get an error instead of the end of the
// response, also if it speaks HTTP/1.0, where the end of the connection is that of the
// response.
func TestAbortedResponseLooksIncomplete(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		Response(w, r)
	})
	for _, secured := range []bool{false, true} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(fmt.Sprintf("HTTP/%s, TLS %v", version, secured), func(t *testing.T) {
				s := httptest.NewUnstartedServer(h)
				if secured {
					s.StartTLS()
				} else {
					s.Start()
				}
				t.Cleanup(s.Close)
				c, err := net.Dial("tcp", s.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				if secured {
					config := s.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
					config.ServerName = "example.com"
					c = tls.Client(c, config)
				}
				t.Cleanup(func() { _ = c.Close() })
				if _, err := fmt.Fprintf(c, "GET / HTTP/%s\r\nHost: example.com\r\n\r\n", version); err != nil {
					t.Fatal(err)
				}
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return
				}
				defer func() { _ = response.Body.Close() }()
				if text, err := io.ReadAll(response.Body); err == nil {
					t.Errorf("body %q looks complete", text)
				}
			})
		}
	}
}
