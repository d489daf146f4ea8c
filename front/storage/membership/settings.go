// Package membership keeps an instance's row in the platform's table, watches
// the rows of the others, and takes the rows of dead instances away.
//
// The decisions are those of steer/membership; this package does the reads,
// writes and messages. A Keeper runs three loops: one renews the row, one reads
// all rows, and one asks the witnesses while the table is silent.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/membership"
)

// Settings of a Keeper.
type Settings struct {
	// Environment names the environment.
	Environment string
	// Process is the platform's name for this process.
	Process string
	// PeerAddress is where other instances reach this one.
	PeerAddress string
	// CallerURL is the base address for callers.
	CallerURL string
	// OperatorAddress is where operators reach this one.
	OperatorAddress string
	// Region and FailureDomain say where the instance runs.
	Region        string
	FailureDomain string
	// Timing holds the durations that all instances share.
	Timing membership.Settings
}

const (
	// tableTimeout bounds one call to the table.
	tableTimeout = 1500 * time.Millisecond
	// peerTimeout bounds one message to another instance.
	peerTimeout = time.Second
	// listInterval is the time between two reads of the platform's list.
	listInterval = 5 * time.Second
	// minReadInterval is the least time between two reads of the rows that others
	// asked for.
	minReadInterval = 100 * time.Millisecond
	// jitter is the part by which waits differ at random.
	jitter = 0.1
	// maxBackoffPeriods is how many times longer than usual the wait after failures
	// grows at most.
	maxBackoffPeriods = 2
)

// InstancesPrefix returns the prefix of the keys of all instances' rows.
func InstancesPrefix(environment string) string { return environment + "/instances/" }

// InstanceKey returns the key of a member's row.
func InstanceKey(environment, member string) string { return InstancesPrefix(environment) + member }

// schedule spreads the calls of many instances and slows down while they fail.
type schedule struct {
	period time.Duration
	// untilDeadline, if set, gives the time to something that the next call after a
	// success must not miss.
	untilDeadline func() time.Duration
	maxWait       time.Duration
}

// next returns the wait before the next call. After a failure it is drawn from
// a range that doubles each time, up to slowest periods.
func (s *schedule) next(failed bool) time.Duration {
	if !failed {
		s.maxWait = s.period
		wait := time.Duration(float64(s.period) * (1 - jitter + 2*jitter*rand.Float64()))
		if s.untilDeadline != nil {
			wait = min(wait, s.untilDeadline())
		}
		return wait
	}
	s.maxWait = min(2*max(s.maxWait, s.period), maxBackoffPeriods*s.period)
	return s.period + rand.N(s.maxWait-s.period)
}
