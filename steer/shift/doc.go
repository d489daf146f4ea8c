// Package shift decides how a service moves from an old version to a new one.
//
// Every instance runs one Controller for each shift. The Controller is told of
// the shift's record in the platform's table, of its own requests' outcomes, of
// its peers' summaries and of the time. It says which version the next request
// goes to and which transition of the record, if any, should be tried.
//
// # Caps
//
// A Meter deals out requests by counting, not by chance: among the first n
// requests that it dealt, at most share*n went to the new version. Each
// instance keeps that bound on its own requests, so the sum over the fleet keeps
// it with no message, whichever instances start, die or lag behind a stage.
//
// # Outcomes
//
// Records form a join-semilattice (Shapiro et al., "Conflict-free Replicated
// Data Types", 2011): pending, stages, watching, done, and above all of them
// taken back. Whatever order rows and summaries arrive in, instances that have
// seen the same ones hold the same outcome, and taken back is final.
//
// # Evidence
//
// Both versions serve the same route at the same time, so a batch of outcomes
// is tested against itself: given the batch's failures, each is the new
// version's with the new version's share of the batch if the versions are
// alike. See Tally. A stage is left only on evidence; silence is not evidence.
//
// # Clocks
//
// Instances' wall clocks may differ by up to Config.ClockSkew from true time.
// Two instances' actions at the deadline then lie up to three times that apart:
// they act earlier by it themselves. See Tuning.Guard.
package shift
