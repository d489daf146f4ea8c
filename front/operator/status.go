package operator

import (
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// Paths on an instance's operator listener.
const (
	PathStatus = "/status"
	PathHead   = "/head"
)

// Status is the response of an instance at PathStatus.
type Status struct {
	// Instance is the instance's name, new for every process.
	Instance string `json:"instance"`
	// Region is the instance's region.
	Region string `json:"region"`
	// FailureDomain is the instance's failure domain.
	FailureDomain string `json:"failureDomain"`
	// Generation is the generation in force, or 0.
	Generation uint64 `json:"generation"`
	// Digest is the digest of the document in force.
	Digest string `json:"digest,omitempty"`
	// Ready reports whether the instance may serve requests.
	Ready bool `json:"ready"`
	// Fresh reports whether the document may be used to authenticate keys.
	Fresh bool `json:"fresh"`
	// AgeMillis is the age of the instance's knowledge in milliseconds, or -1
	// if it has none.
	AgeMillis int64 `json:"ageMillis"`
	// StoreFailing reports whether the instance's latest read of the store
	// failed although it reached a peer that it could not reach if it were
	// isolated.
	StoreFailing bool `json:"storeSilent"`
}

// Head is the request body at PathHead.
type Head struct {
	// Head is a head that the store accepted.
	Head generation.Head `json:"head"`
	// Content is the document of the head.
	Content []byte `json:"content"`
}

// Refusal is the response to a refused request.
type Refusal struct {
	// Error is the reason.
	Error string `json:"error"`
}

const unknownAge = -1

// newStatus returns the status of an instance at now.
func newStatus(report generation.Report, snapshot *configuration.Snapshot, now time.Time) Status {
	s := Status{
		Instance:      report.From.Instance,
		Region:        report.From.Region,
		FailureDomain: report.From.FailureDomain,
		Generation:    snapshot.Head.Generation,
		Digest:        snapshot.Head.Digest,
		Ready:         snapshot.Ready,
		Fresh:         snapshot.Fresh(now),
		AgeMillis:     unknownAge,
		StoreFailing:  report.StoreFailing,
	}
	if report.Known {
		s.AgeMillis = report.Age.Milliseconds()
	}
	return s
}
