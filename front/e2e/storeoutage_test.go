package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestSlotsOutliveTheStore makes the store unavailable for longer than any
// lease that is kept in it, once by breaking connections and once by leaving
// calls without a response. Requests on an open route must still succeed at all
// instances.
func TestSlotsOutliveTheStore(t *testing.T) {
	for _, fault := range []string{`{"down":true}`, `{"freeze":true}`} {
		t.Run(fault, func(t *testing.T) { testStoreOutage(t, fault) })
	}
}

func testStoreOutage(t *testing.T, fault string) {
	const outage = 6 * time.Second
	f := startFleet(t, 3)
	putFaults(t, "http://"+f.platform+"/standin/faults", fault)
	failed := 0
	sent := 0
	for end := time.Now().Add(outage); time.Now().Before(end); {
		for _, i := range f.instances {
			sent++
			if err := getHours(i); err != nil {
				failed++
				t.Log(err)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("%d sent, %d failed", sent, failed)
	if failed > 0 {
		t.Errorf("%d of %d requests failed while the store was unavailable", failed, sent)
	}
}

// getHours sends one request on the open route.
func getHours(i *testInstance) error {
	resp, err := http.Get(i.url() + "/hours")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("instance %s: status %s, reason %s", i.Callers, resp.Status, resp.Header.Get("Cardamomfront-Reason"))
	}
	return nil
}
