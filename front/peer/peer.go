// Package peer carries messages between the instances of the system.
//
// The protocol is JSON-RPC 2.0 over TCP, framed by length and secured by mutual
// TLS. Plain TCP is accepted on loopback addresses only. Calls are not
// repeated: a method that must not run twice brings its own identifier.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"

	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Method answers one call. An error is passed to the calling instance as its
// text.
type Method func(ctx context.Context, params json.RawMessage) (any, error)

// Registry takes the methods that other instances may call. Server implements
// it.
type Registry interface {
	// Handle registers m under name.
	Handle(name string, m Method)
}

// Caller calls methods of other instances. Client implements it.
type Caller interface {
	// Call runs method at the instance that listens on addr and decodes its
	// answer into result, which may be nil. Errors: *Error.
	Call(ctx context.Context, addr, method string, params, result any) error
}

// Error is a failed call to another instance.
type Error struct {
	// Addr is the address of the other instance.
	Addr string
	// Method is the method that was called.
	Method string
	// Verdict says whether the method may have run.
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

// PlainAddressError says that a plain connection was asked for on an address
// that is not a loopback address.
type PlainAddressError struct {
	// Addr is the refused address.
	Addr string
}

// Error implements error.
func (e *PlainAddressError) Error() string {
	return fmt.Sprintf("peer address %s needs TLS: plain TCP is for loopback addresses only", e.Addr)
}

// checkLoopback returns an error unless addr is a loopback address.
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
