// Package shares distributes each team's rate and burst among the instances.
// The platform's table has a row per team with the share of each instance,
// counted in units, and instances lend each other units for a short time.
//
// An Agent reads the rows about once a second, transfers its surplus, assigns
// units that have no holder, and serves loan requests of its peers. Packages
// steer/share and steer/limit make the decisions. Rows are written only when
// units move.
package shares

import "time"

// Settings configures an Agent.
type Settings struct {
	// Environment is the name of the environment.
	Environment string
	// Region is the region of this instance.
	Region string
	// ReadPeriod is the time between two reads of the divisions.
	ReadPeriod time.Duration
}

// DefaultReadPeriod is the default time between two reads of the divisions.
const DefaultReadPeriod = time.Second

const (
	// tableTimeout bounds one call to the table.
	tableTimeout = 1500 * time.Millisecond
	// loanTimeout bounds one loan request.
	loanTimeout = 400 * time.Millisecond
	// notifyTimeout bounds one notification of a peer.
	notifyTimeout = 2 * time.Second
	// maxConcurrentWrites is the number of rows that a pass writes concurrently.
	maxConcurrentWrites = 4
	// passesPerRank is the number of passes for which an instance leaves free
	// units to each instance that ranks before it for the team.
	passesPerRank = 2
	// startPassInterval is the time between two passes after the start, until the
	// instance is ready.
	startPassInterval = 100 * time.Millisecond
	// maxStartPasses bounds the number of passes at startPassInterval.
	maxStartPasses = 50
	// leavePassInterval is the time between two passes of a leaving instance.
	leavePassInterval = 200 * time.Millisecond
	// jitter is the random fraction by which a delay is shortened or extended.
	jitter = 0.1
	// maxSlowdown bounds the delay after failures to this multiple of the period.
	maxSlowdown = 3
)

// Prefix returns the prefix of the keys of all divisions.
func Prefix(environment string) string { return environment + "/shares/" }

// Key returns the key of a team's division.
func Key(environment, team string) string { return Prefix(environment) + team }
