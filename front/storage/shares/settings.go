// Package shares keeps the teams' divisions in the platform's table and lends
// parts between instances, so that the limiter of each instance may use its
// part of each team's rate and burst.
//
// The decisions are those of steer/share and steer/limit. An Agent reads the
// divisions about once a second, gives away what it has too much of, takes up
// what nobody holds any more, and answers the loans that others ask for. Rows
// are written only when parts move.
package shares

import "time"

// Settings of an Agent.
type Settings struct {
	// Environment names the environment.
	Environment string
	// Region is where the instance runs.
	Region string
	// ReadPeriod is the time between two reads of the divisions.
	ReadPeriod time.Duration
}

// DefaultReadPeriod is the usual time between two reads of the divisions.
const DefaultReadPeriod = time.Second

const (
	// tableTimeout bounds one call to the table.
	tableTimeout = 1500 * time.Millisecond
	// loanTimeout bounds one question for a loan.
	loanTimeout = 400 * time.Millisecond
	// notifyTimeout bounds a message that needs no answer.
	notifyTimeout = 2 * time.Second
	// maxConcurrentWrites is how many rows one pass writes at the same time.
	maxConcurrentWrites = 4
	// passesPerRank is for how many passes a free part is left to the instance
	// that comes first.
	passesPerRank = 2
	// startPassInterval is the time between two passes until the instance is ready.
	startPassInterval = 100 * time.Millisecond
	// maxStartPasses is how many passes may follow so fast.
	maxStartPasses = 50
	// leavePassInterval is the time between two passes of a leaving instance.
	leavePassInterval = 200 * time.Millisecond
	// jitter is the part by which waits differ at random.
	jitter = 0.1
	// maxSlowdown is how many times longer than usual the wait after failures is
	// at most.
	maxSlowdown = 3
)

// Prefix returns the prefix of the keys of all divisions.
func Prefix(environment string) string { return environment + "/shares/" }

// Key returns the key of a team's division.
func Key(environment, team string) string { return Prefix(environment) + team }
