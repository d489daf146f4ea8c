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

// connFault is what befalls one connection; a count of -1 means never.
type connFault struct {
	refuse bool
	// resetAfter lets that many bytes through to the endpoint and then breaks
	// the connection.
	resetAfter int
	// dropAfter lets that many bytes through and drops the others unseen.
	dropAfter int
	// breakResponseAfter lets that many bytes of answers through and then breaks the
	// connection.
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

// sendOnce sends one request of a drawn kind and returns what is said of it.
func sendOnce(client *endpoint.Client, n *faultNetwork, address, id string) (verdict.Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if n.intN(20) == 0 { // the caller gives up at some moment
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
	answer, err := client.Send(ctx, endpoint.Target{Address: address}, &endpoint.Request{
		HTTP:            r,
		Idempotent:      method == http.MethodGet,
		ProgressTimeout: 200 * time.Millisecond,
	})
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
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

// TestNotRunIsTrue sends requests over connections that are refused, broken
// after any byte of the request or of the answer, or swallow from any byte on,
// to an endpoint that sheds, fails, loses and cuts answers and freezes. What
// was said not to have run must not have; what was said to have run must have,
// once.
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
	server.Close() // waits for what still runs
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
			t.Errorf("request %d was said not to have run and ran", i)
		case v == verdict.Ran && n == 0:
			t.Errorf("request %d was said to have run and did not", i)
		}
	}
	t.Logf("said: %v", total)
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		if total[v] < len(verdicts)/50 {
			t.Errorf("%v was said %d times of %d, the test shows little of it", v, total[v], len(verdicts))
		}
	}
}
