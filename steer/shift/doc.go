// Package shift decides how a service's traffic moves from an old version to a
// new one, and how a region is drained. Every instance runs one Controller for
// each shift. Its inputs are the shift's record in the platform's table, the
// outcomes of the instance's own requests, the reports of its peers and the
// time. For each request it chooses the version, and it proposes the next
// transition of the record when one is due.
//
// # Caps
//
// A Meter splits requests by counting instead of at random: of the first n
// requests, at most share*n go to the new version. Each instance keeps this
// bound for its own requests. The sum over the fleet therefore keeps it without
// any coordination, even while instances start, stop or are still at an earlier
// stage.
//
// # Outcomes
//
// Records form a join-semilattice (Shapiro et al., "Conflict-free Replicated
// Data Types", 2011), ordered as pending, the stages, watching, done and, above
// all others, rolled back. Instances that have received the same records and
// reports agree on the outcome, in whatever order they arrived. A rollback is
// final.
//
// # Evidence
//
// Both versions serve the same route at the same time, so each batch of
// outcomes is tested against itself. Given the number of failures in a batch,
// and if the versions are alike, each failure belongs to the new version with a
// probability equal to the new version's part of the batch. See Tally. A stage
// ends only on evidence; missing outcomes are not evidence.
//
// # Clocks
//
// An instance's wall clock may differ from true time by up to Tuning.ClockSkew.
// Instances also act on the deadline earlier by ClockSkew, so the actions of
// two instances lie at most three times ClockSkew apart. See Tuning.Guard.
package shift
