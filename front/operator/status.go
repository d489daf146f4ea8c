package operator

import (
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// Paths of an instance's operator listener.
const (
	PathStatus = "/status"
	PathHead   = "/head"
)

// Status is an instance's answer at PathStatus.
type Status struct {
	// Instance is the instance's name, new for every process.
	Instance string `json:"instance"`
	// Region is the instance's region.
	Region string `json:"region"`
	// FailureDomain is the instance's failure domain.
	FailureDomain string `json:"failureDomain"`
	// Generation is the generation in force; 0 for none.
	Generation uint64 `json:"generation"`
	// Digest names the document in force.
	Digest string `json:"digest,omitempty"`
	// Ready says that the instance may serve.
	Ready bool `json:"ready"`
	// Fresh says that keys may be trusted.
	Fresh bool `json:"fresh"`
	// AgeMillis is the age of the instance's knowledge in milliseconds; -1
	// when it knows nothing.
	AgeMillis int64 `json:"ageMillis"`
	// StoreSilent says that the store does not answer and that this instance
	// reaches others that it would not reach if it were merely cut off.
	StoreSilent bool `json:"storeSilent"`
}

// Head is what the tool tells an instance at PathHead.
type Head struct {
	// Head is the head that the store accepted.
	Head generation.Head `json:"head"`
	// Content is its document.
	Content []byte `json:"content"`
}

// Refusal is an instance's answer to a request that it refused.
type Refusal struct {
	// Error says why.
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
		StoreSilent:   report.StoreFailing,
	}
	if report.Known {
		s.AgeMillis = report.Age.Milliseconds()
	}
	return s
}
