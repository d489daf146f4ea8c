package instance

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/peer"
)

// messageMethods are the methods that peers may call.
var messageMethods = []string{
	"configuration.statement", "configuration.offer", "configuration.document",
	"membership.probe", "membership.promise", "membership.look",
	"shares.loan", "shares.return", "shares.handover",
	"shifts.report",
	"slots.ask", "slots.release", "slots.report", "slots.note", "slots.endNote", "slots.observe", "slots.look",
	"relay.address",
}

// callTimeout bounds one call of the fuzz target.
const callTimeout = 100 * time.Millisecond

// startPeerServer serves the peer methods of an instance whose platform is
// unreachable, and returns the address.
func startPeerServer(tb testing.TB) string {
	tb.Helper()
	s, err := DecodeSettings("good.yaml", []byte(strings.Replace(validSettings, "operators:", "  relay: 127.0.0.11:7081\noperators:", 1)))
	if err != nil {
		tb.Fatal(err)
	}
	i, err := Build(s, io.Discard)
	if err != nil {
		tb.Fatal(err)
	}
	l, err := i.peers.Listen("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.peers.Serve(ctx, l) }()
	tb.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

// TestMessageMethods checks that each of messageMethods is registered.
func TestMessageMethods(t *testing.T) {
	addr := startPeerServer(t)
	c := peer.NewClient(nil, time.Minute)
	defer c.Close()
	for _, method := range messageMethods {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		err := c.Call(ctx, addr, method, json.RawMessage(`{"deadline":1}`), nil)
		cancel()
		if err != nil && strings.Contains(err.Error(), "unknown method") {
			t.Errorf("%s: %v", method, err)
		}
	}
}

// FuzzMessages calls each method with arbitrary JSON. No method may panic.
func FuzzMessages(f *testing.F) {
	for i := range messageMethods {
		f.Add(uint8(i), []byte(`{"id":"1","team":"ward-01","units":-1,"tokens":1e308,"group":{"service":"x"}}`))
		f.Add(uint8(i), []byte(`null`))
	}
	addr := startPeerServer(f)
	c := peer.NewClient(nil, time.Minute)
	f.Cleanup(c.Close)
	f.Fuzz(func(t *testing.T, n uint8, params []byte) {
		if !json.Valid(params) {
			return
		}
		method := messageMethods[int(n)%len(messageMethods)]
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := c.Call(ctx, addr, method, json.RawMessage(params), nil)
		if err != nil && strings.Contains(err.Error(), "panicked") {
			t.Fatalf("%s with %s: %v", method, params, err)
		}
	})
}
