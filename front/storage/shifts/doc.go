// Package shifts carries out the shifts and drains of an environment's document
// at one instance.
//
// A Manager tells the request path which version serves and collects its
// outcomes. It keeps each shift's record in the row <env>/shifts/<name>, and
// writes an event row <env>/events/<time>-<name> in the same transaction as each
// step, so that the history outlives every instance. Evidence goes from instance
// to instance directly and never through the table: with n instances and a shift
// on, the table sees n scans a second and one renewal in about three seconds,
// while evidence rows would be n writes a second.
package shifts
