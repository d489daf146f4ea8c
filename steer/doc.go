// Package steer groups the decisions of cardamomfront.
//
// Every package below it is pure: no I/O, no goroutine of its own, and the
// clock and the random source are passed in by the caller. The processes that
// carry the decisions out live in the front module, which imports this one;
// this module never imports front.
package steer
