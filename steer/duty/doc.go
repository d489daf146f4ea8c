// Package duty decides which instance performs a duty that belongs to one instance
// at a time, and under which fencing token.
//
// The duty has one row in a shared store. All writes are conditional on the row's
// revision. The package does no I/O, starts no goroutine, and takes the time as
// an argument. A State is not safe for concurrent use.
//
// The caller repeats, several times a second:
//
//	a := s.Next(now, rank)
//	switch a.Kind {
//	case duty.None:
//	case duty.Read:
//		// Read the row from the store itself, not from another instance.
//		// Observe(now, row), or ReadFailed(now).
//	case duty.Act:
//		// Set a.Write.State and a.Write.Due, then go on as below.
//	case duty.Claim, duty.Renew, duty.Release:
//		// Begin(now, a.Write); write a.Write.Encode() if the row has the
//		// revision a.Write.Revision, in the era a.Write.Era; Written(now, result).
//	}
//
// Calls to the platform are made only while Permit returns true, and only with what
// the state of Row says. After a 409 the caller calls Refused.
package duty
