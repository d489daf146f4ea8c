package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cardamomfront/cardamomfront/front/endpoint/standin"
)

// endpointSlots is the number of slots of each endpoint in the test document.
const endpointSlots = 16

// TestEndpointsAreNeverOverloaded sends far more concurrent requests than the
// endpoints have slots through three instances and kills one of the instances
// during the load. The endpoints count how many requests they run concurrently.
func TestEndpointsAreNeverOverloaded(t *testing.T) {
	const callers, requestsPerCaller = 150, 12
	f := startFleet(t, 3)
	for _, e := range f.endpoints {
		putFaults(t, "http://"+e.Address+standin.PathFaults, `{"slow": 20000000}`)
	}
	var ok, refused, unanswered atomic.Int64
	call := func(i *testInstance) {
		req, err := http.NewRequest(http.MethodGet, i.url()+"/tracker/1", nil)
		if err != nil {
			t.Error(err)
			return
		}
		req.Header.Set("Authorization", "Bearer "+keyLarge)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			unanswered.Add(1)
			return
		}
		defer resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ok.Add(1)
			return
		}
		refused.Add(1)
	}
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			for k := range requestsPerCaller {
				if n == 0 && k == requestsPerCaller/2 {
					f.instances[0].kill()
				}
				call(f.instances[n%len(f.instances)])
			}
		})
	}
	wg.Wait()
	t.Logf("%d succeeded, %d refused, %d without a response", ok.Load(), refused.Load(), unanswered.Load())
	page := metricsPage(t, f.instances[1])
	for _, name := range []string{"cardamomfront_slots_wait_seconds", "cardamomfront_endpoint_outcomes_total"} {
		if !strings.Contains(page, name) {
			t.Errorf("the metrics page has no %s", name)
		}
	}
	highest := 0
	for _, e := range f.endpoints {
		n := maxRunning(t, e)
		t.Logf("endpoint %s ran at most %d requests at once", e.Address, n)
		if n > endpointSlots {
			t.Errorf("endpoint %s ran %d requests at once with %d slots", e.Address, n, endpointSlots)
		}
		highest = max(highest, n)
	}
	if highest < endpointSlots/2 {
		t.Errorf("no endpoint ran more than %d requests at once: the test load is too low", highest)
	}
}

// metricsPage returns the metrics page of an instance.
func metricsPage(t *testing.T, i *testInstance) string {
	t.Helper()
	resp, err := http.Get("http://" + i.Operators + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// maxRunning returns the highest number of requests that an endpoint has run
// concurrently.
func maxRunning(t *testing.T, e *testEndpoint) int {
	t.Helper()
	resp, err := http.Get("http://" + e.Address + "/counts")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var c standin.Counts
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	return c.MaxRunning
}
