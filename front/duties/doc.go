// Package duties performs the duties that belong to one instance at a time: calls
// to the platform that must not be made by two instances. The decisions are those
// of steer/duty and, for the usage reports, steer/usage; this package makes the
// calls to the store and to the platform, and exchanges payloads with the other
// instances.
//
// A further duty implements Duty, and is started by New for its Kind.
package duties
