// Package shifts runs the shifts and drains of an environment's document on one
// instance.
//
// A Manager chooses the version for each request and collects the outcomes. The
// record of each shift or drain is the row <env>/shifts/<name>. Each step
// writes the record and an event row <env>/events/<time>-<name> in one
// transaction, so that the history survives the replacement of all instances.
//
// Instances send their evidence directly to each other and not through the
// table. With n instances and a shift in progress, the table gets n scans per
// second and one renewal about every three seconds; rows of evidence would add
// n writes per second.
package shifts
