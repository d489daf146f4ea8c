package endpoint

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// invalidStatuses are status codes that no response has, and those of responses that
// are not the last one. net/http rejects only those that are not three characters of a
// number of 0 or more: it accepts 000, 099, 600, 999, +12 and -00.
var invalidStatuses = []string{
	"000", "001", "099", "600", "999", "+12", "-00", "-12", "0x1", "2OO", "20", "2000", "", "100", "102", "103", "199", "101",
}

// A response whose status is outside 200 to 599 is no response, and counts as a failure
// of its endpoint. It leaves open whether the request ran, whatever its headers claim.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range invalidStatuses {
		for name, headers := range map[string]string{
			"plain":              "",
			"claims not to run":  "Cardamomfront-Verdict: not-run\r\nRetry-After: 1\r\n",
			"upgrades":           "Connection: upgrade\r\nUpgrade: websocket\r\n",
			"closes":             "Connection: close\r\n",
			"on used connection": "",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				answers := []string{fmt.Sprintf("HTTP/1.1 %s Status\r\n%sContent-Length: 5\r\n\r\nhello", status, headers)}
				if name == "on used connection" {
					answers = append([]string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}, answers...)
				}
				c, _, o := newTestClient(t, serveAnswers(answers))
				var err error
				for range answers {
					var resp *Response
					resp, err = c.Send(t.Context(), target, &Request{HTTP: callerRequest(http.MethodPost, "/book", nil)})
					if err == nil {
						_, err = readAll(resp)
					}
				}
				var e *Error
				if !errors.As(err, &e) || e.Verdict != verdict.MayHaveRun || e.RetryAfter != 0 {
					t.Fatalf("error %v, want one that leaves open whether the request ran", err)
				}
				if o.count(health.OutcomeBroken) != 1 {
					t.Errorf("outcomes %v, want one broken", o.counts)
				}
			})
		}
	}
}

// serveAnswers answers the requests of a connection with given bytes and then closes
// it.
func serveAnswers(answers []string) func(net.Conn) {
	return func(c net.Conn) {
		defer func() { _ = c.Close() }()
		requests := bufio.NewReader(c)
		for _, answer := range answers {
			if _, err := http.ReadRequest(requests); err != nil {
				return
			}
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
		}
	}
}
