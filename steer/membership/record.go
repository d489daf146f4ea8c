package membership

import (
	"encoding/json"
	"fmt"
)

// State says whether an instance takes new work.
type State string

const (
	// StateLive is the state of an instance that takes new work.
	StateLive State = "live"
	// StateLeaving is the state of an instance that finishes what it has and
	// stops.
	StateLeaving State = "leaving"
)

// TeamDemand is the demand for one team at one instance.
type TeamDemand struct {
	// Team names the team.
	Team string `json:"team"`
	// Rate is the smoothed demand in requests a second, refused ones included.
	Rate float64 `json:"rate"`
}

// Record is the content of an instance's row.
type Record struct {
	// Name names the instance. It is never used again after an eviction.
	Name string `json:"name"`
	// Process is the platform's name for the process.
	Process string `json:"process"`
	// PeerAddress is where other instances reach this one, host:port.
	PeerAddress string `json:"peerAddress"`
	// CallerURL is the base address for callers.
	CallerURL string `json:"callerUrl"`
	// OperatorAddress is where operators reach this one, host:port.
	OperatorAddress string `json:"operatorAddress,omitempty"`
	// Region and FailureDomain say where the instance runs.
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// State says whether the instance takes new work.
	State State `json:"state"`
	// Generation is the configuration in force at the instance.
	Generation uint64 `json:"generation"`
	// Load is the part of the instance's capacity in use, 0 to 1.
	Load float64 `json:"load"`
	// Witnesses names the instances whose answers extend the lease while the
	// table is silent.
	Witnesses []string `json:"witnesses,omitempty"`
	// Demand lists the teams that the instance has had requests from.
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

// DemandFor returns the demand for a team, 0 when the record has none.
func (r Record) DemandFor(team string) float64 {
	for _, d := range r.Demand {
		if d.Team == team {
			return d.Rate
		}
	}
	return 0
}
