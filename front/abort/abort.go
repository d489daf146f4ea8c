// Package abort ends responses that are incomplete so that their recipients notice it.
package abort

import (
	"net"
	"net/http"
)

// Response ends the response to r, of which a part may have been written, and does not
// return: it panics with http.ErrAbortHandler, which closes the connection. An HTTP/1.0
// response without a length ends with its connection, so that connection is reset.
func Response(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a response.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the server closes the connection
	}
	if secured, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secured.NetConn() // closing the TLS connection would announce its end
	}
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
