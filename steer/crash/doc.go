// Package crash finds requests that crash each endpoint that runs them (queries
// of death).
//
// The package does no I/O and takes the time as an argument.
package crash
