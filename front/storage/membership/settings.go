// Package membership maintains an instance's row in the platform's table,
// tracks the rows of the other instances and evicts instances that no longer
// renew theirs. Package steer/membership makes the decisions; this package does
// the reads, writes and messages.
//
// A Keeper runs four loops: they renew the row, read all rows, read the
// platform's list of instances, and probe the other members while the lease
// can't be renewed in the table.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/membership"
)

// Settings configures a Keeper.
type Settings struct {
	// Environment is the name of the environment.
	Environment string
	// Process is the platform's name for this process.
	Process string
	// PeerAddress is the address at which peers reach this instance.
	PeerAddress string
	// CallerURL is the base URL at which callers reach this instance.
	CallerURL string
	// OperatorAddress is the address at which operators reach this instance.
	OperatorAddress string
	// Region and FailureDomain are where the instance runs.
	Region        string
	FailureDomain string
	// Timing holds the durations that all instances of an environment share.
	Timing membership.Settings
}

const (
	// tableTimeout bounds one call to the table.
	tableTimeout = 1500 * time.Millisecond
	// peerTimeout bounds one call, or a round of concurrent calls, to peers.
	peerTimeout = time.Second
	// listInterval is the time between two reads of the platform's list of
	// instances.
	listInterval = 5 * time.Second
	// minReadInterval is the minimum time between two reads of the rows, however
	// many peers request one.
	minReadInterval = 100 * time.Millisecond
	// jitter is the largest random deviation of a wait, as a fraction of the
	// period.
	jitter = 0.1
	// maxBackoffPeriods bounds the wait after failures, in periods.
	maxBackoffPeriods = 2
)

// InstancesPrefix returns the prefix of the keys of all instance rows.
func InstancesPrefix(environment string) string { return environment + "/instances/" }

// InstanceKey returns the key of a member's row.
func InstanceKey(environment, member string) string { return InstancesPrefix(environment) + member }

// pacer determines the waits between calls. Waits are random, so that the
// calls of many instances are spread, and longer after failures.
type pacer struct {
	period time.Duration
	// deadline, if set, returns the longest wait after a success, so that the
	// next call is not late for a known event.
	deadline func() time.Duration
	maxWait  time.Duration
}

// next returns the wait before the next call. After a failure the wait is drawn
// from a range that starts at one period. The end of the range doubles with
// each failure, up to maxBackoffPeriods periods.
func (p *pacer) next(failed bool) time.Duration {
	if !failed {
		p.maxWait = p.period
		wait := time.Duration(float64(p.period) * (1 - jitter + 2*jitter*rand.Float64()))
		if p.deadline != nil {
			wait = min(wait, p.deadline())
		}
		return wait
	}
	p.maxWait = min(2*max(p.maxWait, p.period), maxBackoffPeriods*p.period)
	return p.period + rand.N(p.maxWait-p.period)
}
