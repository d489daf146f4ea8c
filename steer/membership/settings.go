// Package membership decides which instances are live, which are leaving, and
// when the rights of an instance that fell silent may pass to others.
//
// Each instance keeps one row in the platform's table and renews it with a
// conditional write. The row is a lease: what an instance holds it may use
// only while the lease is valid. While the table is silent, the holder goes on
// as long as a majority of the witnesses named in its committed row answer it.
// An instance that wants to evict a silent holder needs promises from enough of
// those witnesses that no majority is left. Clocks of two instances are never
// compared; every duration is measured on one monotonic clock.
//
// The lease follows Gray and Cheriton, "Leases: An Efficient Fault-Tolerant
// Mechanism for Distributed File Cache Consistency" (1989); the overlap of
// majorities is that of Gifford, "Weighted Voting for Replicated Data" (1979).
package membership

import "time"

// Settings are the durations and counts of membership. All instances of an
// environment must use the same Lease, Guard, WitnessLease and LongLease.
type Settings struct {
	// Heartbeat is the time between two renewals of an instance's row.
	Heartbeat time.Duration
	// Lease is how long a committed renewal is good for.
	Lease time.Duration
	// Guard covers the difference in rate of two clocks over a lease.
	Guard time.Duration
	// WitnessLease is how long a witness's answer is good for.
	WitnessLease time.Duration
	// LongLease is the longest time that an instance may go on without a
	// committed renewal, whatever its witnesses say.
	LongLease time.Duration
	// Witnesses is the number of witnesses that a row names.
	Witnesses int
}

// DefaultSettings returns the settings that instances use unless told
// otherwise.
func DefaultSettings() Settings {
	return Settings{
		Heartbeat:    700 * time.Millisecond,
		Lease:        2 * time.Second,
		Guard:        200 * time.Millisecond,
		WitnessLease: 1500 * time.Millisecond,
		LongLease:    2 * time.Hour,
		Witnesses:    5,
	}
}

// maxReadGap is the longest time between two successful reads of the rows over
// which silence is still counted.
func (s Settings) maxReadGap() time.Duration { return 3 * s.Heartbeat }
