// Package peer carries messages between the instances of the system.
//
// The protocol is JSON-RPC 2.0 over TCP, with length-prefixed messages and
// mutual TLS. Unless AllowPlainTCP is set, plain TCP is accepted on loopback
// addresses only. The client never repeats a call. A method that must not run
// twice carries its own identifier in its parameters.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"

	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Method handles one call. If it returns an error, the calling instance
// receives the error's text.
type Method func(ctx context.Context, params json.RawMessage) (any, error)

// Registry registers the methods that other instances may call. It is
// implemented by Server.
type Registry interface {
	// Handle registers m under name.
	Handle(name string, m Method)
}

// Caller calls methods of other instances. It is implemented by Client.
type Caller interface {
	// Call calls method of the instance that listens on addr and decodes the
	// response into result, which may be nil. Errors: *Error.
	Call(ctx context.Context, addr, method string, params, result any) error
}

// Error reports a failed call to another instance.
type Error struct {
	// Addr is the address of the other instance.
	Addr string
	// Method is the method that was called.
	Method string
	// Verdict is whether the method may have run.
	Verdict verdict.Verdict
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("peer %s %s (%s): %v", e.Addr, e.Method, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// PlainAddressError reports an attempt to use plain TCP on an address other
// than loopback.
type PlainAddressError struct {
	// Addr is the refused address.
	Addr string
}

// Error implements error.
func (e *PlainAddressError) Error() string {
	return fmt.Sprintf("peer address %s requires TLS: plain TCP is allowed on loopback addresses only", e.Addr)
}

// checkLoopback returns a *PlainAddressError if the host of addr is not a
// loopback IP address.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return &PlainAddressError{Addr: addr}
	}
	return nil
}
