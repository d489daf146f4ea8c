package endpoint

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

func TestEndpointRefusesOnlyOnceItsProcessHasEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := NewClient(Settings{}, &outcomes{})
	t.Cleanup(c.Close)
	at := Target{Address: l.Addr().String()}
	if refuses, err := c.Refuses(t.Context(), at); refuses || err != nil {
		t.Fatalf("while it listens: Refuses = %t, %v", refuses, err)
	}
	if idle := c.pool(at).take(time.Now(), true); idle == nil {
		t.Error("the accepted connection was not kept")
	} else {
		idle.close()
	}
	_ = l.Close()
	if refuses, err := c.Refuses(t.Context(), at); !refuses || err != nil {
		t.Errorf("after its end: Refuses = %t, %v", refuses, err)
	}
}

func TestSilentEndpointDoesNotRefuse(t *testing.T) {
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c := NewClient(Settings{Dial: silent, DialTimeout: time.Millisecond}, &outcomes{})
	t.Cleanup(c.Close)
	refuses, err := c.Refuses(t.Context(), target)
	if e := (*Error)(nil); refuses || !errors.As(err, &e) {
		t.Errorf("Refuses = %t, %v; want an *Error", refuses, err)
	}
}
