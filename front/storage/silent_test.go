package storage_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
)

// muteListener accepts connections whose incoming data can be dropped later,
// while new connections work.
type muteListener struct {
	net.Listener

	mu    sync.Mutex
	conns []*muteConn
}

// Accept implements net.Listener.
func (l *muteListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &muteConn{Conn: c, mute: make(chan struct{})}
	l.mu.Lock()
	l.conns = append(l.conns, conn)
	l.mu.Unlock()
	return conn, nil
}

// muteAll drops all further incoming data of the connections accepted so far
// and returns their number.
func (l *muteListener) muteAll() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		close(c.mute)
	}
	return len(l.conns)
}

type muteConn struct {
	net.Conn
	mute chan struct{}
}

// Read implements net.Conn. Data that arrives after the mute is dropped.
func (c *muteConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		select {
		case <-c.mute:
		default:
			return n, nil
		}
	}
}

// TestSilentConnectionsCostOneCall makes the store drop everything that it
// receives on its open connections. One call must time out, and the next must
// succeed on a new connection.
func TestSilentConnectionsCostOneCall(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewUnstartedServer(store.Handler())
	listener := &muteListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	defer server.Close()
	client := storage.NewClient(storage.Settings{URL: server.URL, Timeout: 10 * time.Second})
	defer client.Close()
	openConnections(t, client, store)
	if n := listener.muteAll(); n < 4 {
		t.Fatalf("%d connections are open, want several", n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := client.Get(ctx, "k"); err == nil {
		t.Fatal("got a response on a muted connection")
	}
	if _, err := client.Commit(context.Background(), []storage.Write{{Key: "k", Value: []byte("v")}}); err != nil {
		t.Fatalf("call after a timed-out one: %v", err)
	}
}

// openConnections opens several connections and leaves them idle.
func openConnections(t *testing.T, client *storage.Client, store *standin.Store) {
	t.Helper()
	store.SetFaults(standin.Faults{Delay: 100 * time.Millisecond})
	defer store.SetFaults(standin.Faults{})
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			if _, err := client.Get(context.Background(), "k"); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
}
