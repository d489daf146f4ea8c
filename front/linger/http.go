package linger

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// ConnContext is the http.Server's ConnContext that Handler needs.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	for {
		if c, ok := nc.(*conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		wrapper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		nc = wrapper.NetConn()
	}
}

// Handler makes connections reset if they are closed before the response to an
// HTTP/1.0 request is complete. Such a response may end with its connection, and an
// orderly end would make a part of it look complete.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.endDelimited.Store(!r.ProtoAtLeast(1, 1))
		c.responding.Store(true)
		next.ServeHTTP(w, r)
		c.responding.Store(false) // not after a panic, which cuts the response
	})
}
