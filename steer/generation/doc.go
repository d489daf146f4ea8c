// Package generation decides which generation of the document an instance
// follows and how long it may go on trusting what it knows.
//
// Generations only rise. Knowledge has an age: an instance that reads the
// store at a moment knows every promotion accepted before that moment. Ages
// travel between instances as durations and are never compared by wall clock,
// in the manner of bounded staleness (Terry et al., "Replicated data
// consistency explained through baseball", CACM 2013).
//
// A Tracker is one instance's state. It is not safe for concurrent use.
package generation
