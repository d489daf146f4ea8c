// Package steer groups the steering decisions of cardamomfront.
//
// The packages below it are pure: they do no I/O, start no goroutines, and take
// the time and random values from the caller. The processes that carry out the
// decisions are in the front module, which imports this module; this module
// never imports front.
package steer
