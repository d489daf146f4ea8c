package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	// directoryTries is how many gateways a caller asks where to connect, the nearest
	// first, with directoryWait for each.
	directoryTries = 3
	directoryWait  = time.Second
	// maxLifetime is the most that counts of an answer's lifetime.
	maxLifetime = 5 * time.Second
)

// directory holds what the callers of each failure domain know of the gateways.
type directory struct {
	world  *world
	client *http.Client

	mu    sync.Mutex
	known map[string]knownAddresses
}

// knownAddresses is an answer of the directory.
type knownAddresses struct {
	addresses []string
	until     time.Time
}

func newDirectory(w *world) *directory {
	return &directory{
		world: w, known: make(map[string]knownAddresses),
		client: &http.Client{Timeout: directoryWait, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// resolve returns the addresses to use in the failure domain of the i-th gateway. An
// old answer is kept while no new one can be had.
func (d *directory) resolve(i int) []string {
	zone := gatewayZones[i]
	d.mu.Lock()
	known := d.known[zone]
	d.mu.Unlock()
	if time.Now().Before(known.until) {
		return known.addresses
	}
	for _, g := range d.nearest(zone)[:directoryTries] {
		addresses, lifetime, ok := d.ask(g, zone)
		if !ok {
			continue
		}
		d.mu.Lock()
		d.known[zone] = knownAddresses{addresses, time.Now().Add(min(lifetime, maxLifetime))}
		d.mu.Unlock()
		return addresses
	}
	return known.addresses
}

// nearest returns all gateways: those of the failure domain, of its region, and others.
func (d *directory) nearest(zone string) []*gatewayProcess {
	var same, region, others []*gatewayProcess
	for _, g := range d.world.gateways {
		switch {
		case g.zone == zone:
			same = append(same, g)
		case zones[g.zone] == zones[zone]:
			region = append(region, g)
		default:
			others = append(others, g)
		}
	}
	return append(append(same, region...), others...)
}

// ask asks one gateway.
func (d *directory) ask(g *gatewayProcess, zone string) (addresses []string, lifetime time.Duration, ok bool) {
	resp, err := d.client.Get("http://" + g.directory + "/resolve?name=" + host + "&region=" + zones[zone] + "&zone=" + zone)
	if err != nil {
		return nil, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return nil, 0, false
	}
	return answer.Addresses, time.Duration(answer.TTLS * float64(time.Second)), true
}
