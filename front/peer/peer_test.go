package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// startServer serves on a loopback address until the test ends.
func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewServer(nil, log)
	l, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return s, l.Addr().String()
}

func TestCall(t *testing.T) {
	s, addr := startServer(t)
	s.Handle("double", func(_ context.Context, params json.RawMessage) (any, error) {
		var n int
		err := json.Unmarshal(params, &n)
		return 2 * n, err
	})
	s.Handle("fail", func(context.Context, json.RawMessage) (any, error) {
		return nil, errors.New("no luck")
	})
	s.Handle("panic", func(context.Context, json.RawMessage) (any, error) { panic("fault") })
	c := NewClient(nil, time.Minute)
	defer c.Close()
	tests := []struct {
		desc    string
		method  string
		want    int
		verdict verdict.Verdict
		fails   bool
	}{
		{desc: "answered", method: "double", want: 42},
		{desc: "method's own error", method: "fail", fails: true, verdict: verdict.Ran},
		{desc: "method that panics", method: "panic", fails: true, verdict: verdict.Ran},
		{desc: "answered after a panic", method: "double", want: 42},
		{desc: "unknown method", method: "none", fails: true, verdict: verdict.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var got int
			err := c.Call(context.Background(), addr, tt.method, 21, &got)
			if !tt.fails && (err != nil || got != tt.want) {
				t.Fatalf("Call = %d, %v, want %d", got, err, tt.want)
			}
			var callErr *Error
			if tt.fails && (!errors.As(err, &callErr) || callErr.Verdict != tt.verdict) {
				t.Fatalf("Call error = %v, want verdict %v", err, tt.verdict)
			}
		})
	}
}

func TestRefusedDialIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	c := NewClient(nil, time.Minute)
	defer c.Close()
	err = c.Call(context.Background(), addr, "double", 1, nil)
	var callErr *Error
	if !errors.As(err, &callErr) || callErr.Verdict != verdict.NotRun {
		t.Fatalf("Call error = %v, want a refused dial that is not-run", err)
	}
}

// TestSilentConnectionIsReplaced checks that a call after a timed-out one uses
// a new connection. The first connection is accepted but never answered; the
// second is forwarded to a server.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s, addr := startServer(t)
	s.Handle("ping", func(context.Context, json.RawMessage) (any, error) { return "pong", nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		first, err := l.Accept()
		if err != nil {
			return
		}
		defer first.Close()
		second, err := l.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(second, upstream) }()
		_, _ = io.Copy(upstream, second)
	}()
	c := NewClient(nil, time.Minute)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var callErr *Error
	if err := c.Call(ctx, l.Addr().String(), "ping", nil, nil); !errors.As(err, &callErr) || callErr.Verdict != verdict.MayHaveRun {
		t.Fatalf("call on a silent connection = %v, want may-have-run", err)
	}
	var got string
	if err := c.Call(context.Background(), l.Addr().String(), "ping", nil, &got); err != nil || got != "pong" {
		t.Fatalf("call after a silent connection = %q, %v", got, err)
	}
}

func TestPlainOnlyOnLoopback(t *testing.T) {
	s := NewServer(nil, logrus.New())
	_, err := s.Listen("192.0.2.1:7000")
	var plain *PlainAddressError
	if !errors.As(err, &plain) {
		t.Errorf("Listen = %v, want *PlainAddressError", err)
	}
	c := NewClient(nil, time.Minute)
	if err := c.Call(context.Background(), "192.0.2.1:7000", "ping", nil, nil); !errors.As(err, &plain) {
		t.Errorf("Call = %v, want *PlainAddressError", err)
	}
}

func FuzzReadObject(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var v any
		err := lengthCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &v)
		if len(data) < lengthBytes && err == nil {
			t.Fatal("a message with a truncated length prefix was accepted")
		}
		if err != nil {
			return
		}
		if n := binary.BigEndian.Uint32(data); n > MaxMessageBytes {
			t.Fatalf("a message of %d bytes was accepted", n)
		}
	})
}
