package standin

import (
	"maps"
	"net/http"
)

// maxCountedKeys is the maximum number of entries in each map of Counts.
const maxCountedKeys = 200_000

// Counts are the endpoint's counters. A request counts as executed as soon as
// the endpoint starts it, whether or not its response is sent.
type Counts struct {
	Executed uint64 `json:"executed"`
	Shed     uint64 `json:"shed"`
	Running  int    `json:"running"`
	// MaxRunning is the highest value of Running so far.
	MaxRunning int `json:"mostRunning"`
	// ByIdempotencyKey and ByRequestID count executions.
	ByIdempotencyKey map[string]int `json:"byIdempotencyKey"`
	ByRequestID      map[string]int `json:"byRequestId"`
	// Uncounted is the number of executions that were not counted in a map
	// because the map was full.
	Uncounted uint64 `json:"uncounted"`
}

type counts Counts

func newCounts() counts {
	return counts{ByIdempotencyKey: make(map[string]int), ByRequestID: make(map[string]int)}
}

func (c *counts) recordExecution(r *http.Request) {
	c.Executed++
	c.Running++
	c.MaxRunning = max(c.MaxRunning, c.Running)
	c.countKey(c.ByIdempotencyKey, r.Header.Get(HeaderIdempotencyKey))
	c.countKey(c.ByRequestID, r.Header.Get(HeaderRequestID))
}

func (c *counts) countKey(executions map[string]int, key string) {
	if key == "" {
		return
	}
	if _, known := executions[key]; !known && len(executions) >= maxCountedKeys {
		c.Uncounted++
		return
	}
	executions[key]++
}

// Counts returns a copy of the counters.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := Counts(e.counts)
	c.ByIdempotencyKey = maps.Clone(c.ByIdempotencyKey)
	c.ByRequestID = maps.Clone(c.ByRequestID)
	return c
}
