// Package generation decides which generation of the document an instance
// follows and how long the instance may rely on it without reading the store
// again.
//
// Generations only increase. An instance that starts a successful read of the
// store at some moment knows every promotion accepted before that moment; the
// time since then is the age of its knowledge. Instances exchange ages as
// durations, so wall clocks are never compared. This is bounded staleness
// (Terry et al., "Replicated data consistency explained through baseball",
// CACM 2013).
//
// A Tracker holds the state of one instance. It is not safe for concurrent
// use.
package generation
