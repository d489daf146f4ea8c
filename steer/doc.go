// Package steer groups the steering decisions of cardamomfront.
//
// Every package below it is pure: it does no I/O, starts no goroutines, and
// takes the clock and the random source from the caller. The processes that
// carry out the decisions are in the front module, which imports this module;
// this module never imports front.
package steer
