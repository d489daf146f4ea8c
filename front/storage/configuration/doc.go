// Package configuration stores an environment's document in the platform's
// service and distributes it to the instances.
//
// A document is an object named by its digest. One row, "<environment>/head",
// holds the generation and digest in force; Promoter updates it by
// compare-and-set. A Watcher follows the row on each instance and publishes an
// immutable Snapshot, against which a Keyring checks callers' keys.
//
// Package steer/generation decides which generation to follow and how long to
// trust it. This package reads the store, exchanges reports and announcements
// with peers, and runs the timers.
package configuration
