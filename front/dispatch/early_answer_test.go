package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// faultyEndpoint is a client of an endpoint that reads a part of each request, answers
// with given bytes and resets the connection.
func faultyEndpoint(t *testing.T, answer string) *endpoint.Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
			}
			time.Sleep(20 * time.Millisecond) // mostly enough for the head to have been read
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, l.Addr().String())
	}
	client := endpoint.NewClient(endpoint.Settings{Dial: dial, DisableProbes: true}, ignoreOutcomes{})
	t.Cleanup(client.Close)
	return client
}

// faultyAnswers are answers of which none is a complete response. Each is followed by a
// reset of its connection.
func faultyAnswers() map[string]string {
	answers := map[string]string{
		"unframed":          "HTTP/1.1 200 OK\r\n\r\npart",
		"connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\npart",
		"with a length":     "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"chunked":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	}
	for _, status := range []string{"000", "099", "600", "999", "+12", "-00", "101", "103", "199", "20", "2000", "2OO"} {
		const head = "HTTP/1.1 %s Status\r\n%sContent-Length: 5\r\n\r\nhello"
		answers[status] = fmt.Sprintf(head, status, "")
		answers[status+" with a verdict"] = fmt.Sprintf(head, status, "Cardamomfront-Verdict: not-run\r\n")
	}
	return answers
}

// An answer that was cut or has an invalid status code must be a failure that leaves
// open whether the request ran, at the instance that sent the request to the endpoint
// and at one that sent it through that instance.
func TestFaultyAnswerIsAFailure(t *testing.T) {
	for name, answer := range faultyAnswers() {
		for _, size := range []int{10, 8 << 20} {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes, relayed %v", name, size, relayed), func(t *testing.T) {
					t.Parallel()
					slot := &fakeSlot{address: "endpoint:80", deadline: time.Now().Add(time.Minute)}
					d := &Dispatcher{Region: "kano", Slots: &fakeSlots{slot: slot}, Endpoints: faultyEndpoint(t, answer), Relays: noRelays{}}
					if relayed {
						d.Region = "kaduna"
						d = relayPair(t, d)
					}
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					target := Target{Index: testIndex(t), Service: "tracker", Version: "v1", Deadline: time.Now().Add(time.Minute)}
					response, err := d.Send(ctx, target, testRequest(bytes.NewReader(make([]byte, size))))
					if err == nil {
						_, err = io.ReadAll(response.Body)
						_ = response.Body.Close()
					}
					var failed *endpoint.Error
					if !errors.As(err, &failed) || failed.Verdict != verdict.MayHaveRun {
						t.Fatalf("error %v, want one that leaves open whether the request ran", err)
					}
					if released := slot.released(); len(released) != 1 || released[0] != (broker.ReleaseInfo{BusyFor: cancelGrace}) {
						t.Errorf("slot released %+v, want once as busy", released)
					}
				})
			}
		}
	}
}
