package linger

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// halfPipe is one side of an in-memory connection whose writing side can be closed.
type halfPipe struct{ net.Conn }

func (halfPipe) CloseWrite() error { return nil }

// pipe returns a connection and the caller's side of it.
func pipe(c *Closer) (*conn, net.Conn) {
	server, caller := net.Pipe()
	return newConn(halfPipe{server}, c), caller
}

// send sends pieces of a size until the connection ends.
func send(caller net.Conn, size int, every time.Duration) {
	for {
		if _, err := caller.Write(make([]byte, size)); err != nil {
			return
		}
		time.Sleep(every)
	}
}

// Guards against callers that keep a connection open for ever after its close.
func TestCallersAreWaitedForWithinLimits(t *testing.T) {
	limits := Limits{Total: 30 * time.Second, Silence: 5 * time.Second, Delivered: time.Second, MaxBytes: 1 << 20, MaxConns: 10}
	for _, test := range []struct {
		name   string
		caller func(net.Conn)
		end    string
		within time.Duration
	}{
		{"ends its side", func(c net.Conn) { _ = c.Close() }, "caller", 0},
		{"ends its side later", func(c net.Conn) { time.Sleep(4 * time.Second); _ = c.Close() }, "caller", 4 * time.Second},
		{"is silent", func(net.Conn) {}, "silence", limits.Silence + progressInterval},
		{"sends slowly without end", func(c net.Conn) { send(c, 1, time.Second) }, "total", limits.Total + progressInterval},
		{"sends fast without end", func(c net.Conn) { send(c, 64<<10, time.Millisecond) }, "bytes", time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				closer := newCloser(t, limits)
				nc, caller := pipe(closer)
				begin := time.Now()
				if err := nc.Close(); err != nil {
					t.Fatal(err)
				}
				if waited := time.Since(begin); waited != 0 {
					t.Errorf("Close took %v", waited)
				}
				var running sync.WaitGroup
				defer running.Wait()
				running.Go(func() { test.caller(caller) })
				if err := closer.Wait(context.Background()); err != nil {
					t.Fatal(err)
				}
				if waited := time.Since(begin); waited > test.within {
					t.Errorf("open for %v, want %v at most", waited, test.within)
				}
				if n := closer.Stats().Ended[test.end]; n != 1 {
					t.Errorf("%+v, want %q", closer.Stats(), test.end)
				}
			})
		})
	}
}

// Guards against more open connections than the limit, and against new ones that
// suffer for those of callers that never end.
func TestOldestConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closer := newCloser(t, Limits{Total: time.Hour, Silence: time.Hour, Delivered: time.Hour, MaxBytes: 1 << 20, MaxConns: 2})
		var callers []net.Conn
		for range 3 {
			nc, caller := pipe(closer)
			_ = nc.Close()
			callers = append(callers, caller)
		}
		synctest.Wait()
		if stats := closer.Stats(); stats.Open != 2 || stats.Ended["replaced"] != 1 {
			t.Errorf("%+v", stats)
		}
		if _, err := callers[0].Write([]byte("x")); err == nil {
			t.Error("the oldest connection is open")
		}
		for _, c := range callers[1:] {
			if _, err := c.Write([]byte("x")); err != nil {
				t.Error(err)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		closer.Shutdown(ctx)
		if waited := time.Since(begin); waited != time.Second {
			t.Errorf("the shutdown took %v", waited)
		}
		if stats := closer.Stats(); stats.Open != 0 || stats.Ended["stopped"] != 2 {
			t.Errorf("%+v", stats)
		}
		closer.Shutdown(t.Context()) // nothing is open
		if waited := time.Since(begin); waited != time.Second {
			t.Errorf("a shutdown with nothing to deliver took %v", waited-time.Second)
		}
	})
}

// Guards against a server's goroutine that goes on reading, or setting deadlines, on a
// connection that it has closed.
func TestCloseEndsReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closer := newCloser(t, DefaultLimits())
		nc, caller := pipe(closer)
		ended := make(chan error)
		go func() {
			_, err := nc.Read(make([]byte, 1))
			ended <- err
		}()
		synctest.Wait()
		_ = nc.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Errorf("read: %v", err)
		}
		if err := nc.SetReadDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
			t.Errorf("deadline: %v", err)
		}
		if _, err := nc.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
			t.Errorf("write: %v", err)
		}
		_ = caller.Close()
		if err := closer.Wait(t.Context()); err != nil {
			t.Error(err)
		}
	})
}
