package standin_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/endpoint/standin"
	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

var errFault = errors.New("connection fault")

// connFault is the fault of one connection. A count of -1 disables a fault.
type connFault struct {
	refuse bool
	// resetAfter breaks the connection after that many bytes have been sent to
	// the endpoint.
	resetAfter int
	// dropAfter silently drops everything after that many bytes have been sent
	// to the endpoint.
	dropAfter int
	// breakResponseAfter breaks the connection after that many bytes of
	// responses.
	breakResponseAfter int
}

// faultNetwork draws a fault for each connection.
type faultNetwork struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (n *faultNetwork) intN(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.IntN(limit)
}

func (n *faultNetwork) draw() connFault {
	f := connFault{resetAfter: -1, dropAfter: -1, breakResponseAfter: -1}
	bytes := n.intN(1 << n.intN(16))
	switch n.intN(10) {
	case 0:
		f.refuse = true
	case 1, 2:
		f.resetAfter = bytes
	case 3:
		f.dropAfter = bytes
	case 4, 5:
		f.breakResponseAfter = bytes
	}
	return f
}

func (n *faultNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f := n.draw()
	if f.refuse {
		return nil, errFault
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &faultConn{Conn: c, fault: f}, nil
}

type faultConn struct {
	net.Conn
	fault   connFault
	written int
	read    int
}

func (c *faultConn) Write(b []byte) (int, error) {
	if left := c.fault.resetAfter - c.written; c.fault.resetAfter >= 0 && left < len(b) {
		n, _ := c.Conn.Write(b[:max(0, left)])
		c.written += n
		_ = c.Close()
		return n, errFault
	}
	if left := c.fault.dropAfter - c.written; c.fault.dropAfter >= 0 && left < len(b) {
		n, _ := c.Conn.Write(b[:max(0, left)])
		c.written += n
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}

func (c *faultConn) Read(b []byte) (int, error) {
	if left := c.fault.breakResponseAfter - c.read; c.fault.breakResponseAfter >= 0 {
		if left <= 0 {
			_ = c.Close()
			return 0, errFault
		}
		b = b[:min(left, len(b))]
	}
	n, err := c.Conn.Read(b)
	c.read += n
	return n, err
}

type discardOutcomes struct{}

func (discardOutcomes) Observe(string, health.Outcome, time.Duration) {}

// sendOnce sends one request with a random method and body and returns the
// reported verdict.
func sendOnce(client *endpoint.Client, n *faultNetwork, address, id string) (verdict.Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if n.intN(20) == 0 { // the caller cancels after a random time
		time.AfterFunc(time.Duration(n.intN(2000))*time.Microsecond, cancel)
	}
	method := []string{http.MethodGet, http.MethodPost}[n.intN(2)]
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(make([]byte, n.intN(1<<n.intN(18))))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://front/pay", body)
	if err != nil {
		return verdict.MayHaveRun, err
	}
	r.Header.Set(standin.HeaderRequestID, id)
	response, err := client.Send(ctx, endpoint.Target{Address: address}, &endpoint.Request{
		HTTP:            r,
		Idempotent:      method == http.MethodGet,
		ProgressTimeout: 200 * time.Millisecond,
	})
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	var failure *endpoint.Error
	switch {
	case err == nil:
		return verdict.Ran, nil
	case errors.As(err, &failure):
		return failure.Verdict, nil
	default:
		return verdict.MayHaveRun, err
	}
}

// TestNotRunIsTrue checks the verdicts of the client against the requests that
// the endpoint executed. Connections are refused, break after any byte of the
// request or of the response, or drop everything after any byte. The endpoint
// sheds, fails, freezes, and loses or truncates responses. A request reported
// as not run must not have run, one reported as run must have run, and none may
// run twice.
func TestNotRunIsTrue(t *testing.T) {
	const requests, workers = 4_000, 64
	service := standin.New(standin.Settings{Name: "ledger-1", Seed: 11})
	service.SetFaults(standin.Faults{ShedPercent: 10, FailPercent: 5, LosePercent: 5, CutPercent: 5, FreezePercent: 1})
	server := httptest.NewServer(service.Handler())
	network := &faultNetwork{random: rand.New(rand.NewPCG(11, 0))}
	client := endpoint.NewClient(endpoint.Settings{Dial: network.dial}, discardOutcomes{})
	verdicts := make([]verdict.Verdict, requests)
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() {
			for i := w; i < requests; i += workers {
				v, err := sendOnce(client, network, server.Listener.Addr().String(), fmt.Sprint("r-", i))
				if err != nil {
					t.Errorf("request %d: %v", i, err)
				}
				verdicts[i] = v
			}
		})
	}
	wait.Wait()
	client.Close()
	server.CloseClientConnections()
	server.Close() // waits for the requests that are still running
	checkVerdicts(t, verdicts, service.Counts().ByRequestID)
}

func checkVerdicts(t *testing.T, verdicts []verdict.Verdict, ran map[string]int) {
	t.Helper()
	total := make(map[verdict.Verdict]int)
	for i, v := range verdicts {
		total[v]++
		switch n := ran[fmt.Sprint("r-", i)]; {
		case n > 1:
			t.Errorf("request %d ran %d times", i, n)
		case v == verdict.NotRun && n > 0:
			t.Errorf("request %d was reported as not run but ran", i)
		case v == verdict.Ran && n == 0:
			t.Errorf("request %d was reported as run but did not run", i)
		}
	}
	t.Logf("verdicts: %v", total)
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		if total[v] < len(verdicts)/50 {
			t.Errorf("%v was reported for %d of %d requests, too few for this test", v, total[v], len(verdicts))
		}
	}
}
