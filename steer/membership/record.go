package membership

import (
	"encoding/json"
	"fmt"
)

// State tells whether an instance takes new work.
type State string

const (
	// StateLive is the state of an instance that takes new work.
	StateLive State = "live"
	// StateLeaving is the state of an instance that finishes its current work
	// and then stops.
	StateLeaving State = "leaving"
)

// TeamDemand is the demand of one team at one instance.
type TeamDemand struct {
	// Team names the team.
	Team string `json:"team"`
	// Rate is the smoothed demand in requests per second, including refused
	// requests.
	Rate float64 `json:"rate"`
}

// Record is the content of an instance's row.
type Record struct {
	// Name is the instance's name. It is never reused after an eviction.
	Name string `json:"name"`
	// Process is the platform's name for the process.
	Process string `json:"process"`
	// PeerAddress is the address for peers, host:port.
	PeerAddress string `json:"peerAddress"`
	// CallerURL is the base address for callers.
	CallerURL string `json:"callerUrl"`
	// OperatorAddress is the address for operators, host:port.
	OperatorAddress string `json:"operatorAddress,omitempty"`
	// Region and FailureDomain tell where the instance runs.
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// State tells whether the instance takes new work.
	State State `json:"state"`
	// Generation is the configuration in force at the instance.
	Generation uint64 `json:"generation"`
	// Load is the fraction of the instance's capacity in use, 0 to 1.
	Load float64 `json:"load"`
	// Witnesses names the instances whose answers extend the lease while the
	// table is unavailable.
	Witnesses []string `json:"witnesses,omitempty"`
	// Demand lists the teams that have sent requests to the instance.
	Demand []TeamDemand `json:"demand,omitempty"`
}

// Encode returns the row's content.
func (r Record) Encode() ([]byte, error) {
	content, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode member %s: %w", r.Name, err)
	}
	return content, nil
}

// DecodeRecord reads a row's content.
func DecodeRecord(content []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(content, &r); err != nil {
		return Record{}, fmt.Errorf("decode member: %w", err)
	}
	return r, nil
}

// DemandFor returns the demand of a team, or 0 if the record lists none.
func (r Record) DemandFor(team string) float64 {
	for _, d := range r.Demand {
		if d.Team == team {
			return d.Rate
		}
	}
	return 0
}
