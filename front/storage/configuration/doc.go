// Package configuration keeps an environment's document in the platform's
// service and keeps instances up to date with it.
//
// A document is an object named by its digest. One row, "<environment>/head",
// names the generation and digest in force; Promoter moves it by
// compare-and-set. A Watcher follows it on an instance and publishes an
// immutable Snapshot; a Keyring checks callers' keys against that.
//
// steer/generation decides which generation is followed and how long it may
// be trusted; this package does the reading, the telling and the timing.
package configuration
