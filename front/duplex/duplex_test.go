package duplex

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/platform/standin"
)

// Guards against a body with a hole, or an end in order before its end, at a reader that
// goes on while the response is written and after the handler has returned.
func TestBodyHasOneReader(t *testing.T) {
	const length = 500 << 10
	want := standin.NumberedBody(length)
	for name, c := range map[string]struct {
		declared int64
		returns  bool // the handler returns while the body is read
	}{
		"with a length": {length, false}, "chunked": {-1, false},
		"with a length, handler returns": {length, true}, "chunked, handler returns": {-1, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			type result struct {
				got []byte
				err error
			}
			read := make(chan result, 1)
			s := httptest.NewServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				begun, ended := make(chan struct{}), make(chan struct{})
				PassOn(r.Context())
				go func() {
					defer close(ended)
					prefix := make([]byte, 64<<10)
					_, err := io.ReadFull(r.Body, prefix)
					close(begun)
					var rest []byte
					if err == nil {
						rest, err = io.ReadAll(r.Body)
					}
					read <- result{append(prefix, rest...), err}
				}()
				<-begun
				_, _ = w.Write(make([]byte, 300<<10))
				if !c.returns {
					<-ended
				}
			})))
			t.Cleanup(s.Close)
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, standin.Paced(bytes.NewReader(want), 8<<10, time.Millisecond))
			if err != nil {
				t.Fatal(err)
			}
			r.ContentLength = c.declared
			if resp, err := s.Client().Do(r); err == nil { // the end of the connection may come first
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			got := <-read
			if !bytes.Equal(got.got, want[:len(got.got)]) {
				t.Errorf("the %d bytes read are not those that were sent", len(got.got))
			}
			if got.err == nil && len(got.got) < length {
				t.Errorf("the body ended in order after %d bytes of %d", len(got.got), length)
			}
			if !c.returns && (got.err != nil || len(got.got) < length) {
				t.Errorf("%d bytes of %d, error %v", len(got.got), length, got.err)
			}
		})
	}
}

// Guards against a connection that is closed after each refusal of a request whose short
// body was not read, and against a reader that then takes what the server consumes.
func TestRefusalWithUnreadBodyKeepsConnection(t *testing.T) {
	late := make(chan error, 2)
	s := httptest.NewServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, err := r.Body.Read(make([]byte, 1))
		late <- err
	})))
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	in := bufio.NewReader(c)
	for range 2 {
		if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if err := <-late; !errors.Is(err, errEnded) {
			t.Errorf("a read behind the response: %v", err)
		}
	}
}
