// Package priority decides how far requests of lower ranks make room for those of
// higher ranks, and in which order requests wait. Rank 0 is the highest.
//
// It does no I/O and starts no goroutine, and the time is passed in. Its types are
// not safe for concurrent use.
package priority
