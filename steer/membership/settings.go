// Package membership decides which instances are live, which are leaving, and
// when the rights of an instance that stopped renewing its lease may pass to
// others.
//
// Each instance keeps one row in the platform's table and renews it with a
// conditional write. The row is a lease: the instance may use what it holds
// only while the lease is valid. While the table is unavailable, the lease
// stays valid as long as a majority of the witnesses named in the committed
// row answer the holder's probes. An instance that wants to evict a silent
// holder needs promises from enough of those witnesses that no majority is
// left. Clocks of two instances are never compared; every duration is measured
// on one monotonic clock.
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
	// Lease is how long a committed renewal is valid.
	Lease time.Duration
	// Guard covers the drift between two clocks over a lease.
	Guard time.Duration
	// WitnessLease is how long a witness's answer is valid.
	WitnessLease time.Duration
	// LongLease is the longest time that an instance may continue without a
	// committed renewal, whatever its witnesses answer.
	LongLease time.Duration
	// Witnesses is the number of witnesses that a row names.
	Witnesses int
}

// DefaultSettings returns the default settings.
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

// maxReadGap is the longest time between two successful reads of the rows that
// still counts towards a row's silence.
func (s Settings) maxReadGap() time.Duration { return 3 * s.Heartbeat }
