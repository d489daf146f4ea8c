package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/cardamomfront/cardamomfront/front/caller"
	"github.com/cardamomfront/cardamomfront/front/endpoint/standin"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// bookingResponses counts the responses to the requests of one booking by
// verdict. A request without a response counts as other.
type bookingResponses struct {
	acked  int
	notRun int
	other  int
}

// book sends one booking to an instance and returns the verdict of the
// response. It returns false if there is no response, for example from a killed
// instance.
func (f *fleet) book(i *testInstance, key string) (verdict.Verdict, bool) {
	req, err := http.NewRequest(http.MethodPost, i.url()+"/tracker/book", strings.NewReader("mats"))
	if err != nil {
		return verdict.MayHaveRun, false
	}
	req.Header.Set("Authorization", "Bearer "+keyLarge)
	req.Header.Set(caller.HeaderIdempotencyKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return verdict.MayHaveRun, false
	}
	_ = resp.Body.Close()
	switch resp.Header.Get(caller.HeaderVerdict) {
	case verdict.Ran.String():
		return verdict.Ran, true
	case verdict.NotRun.String():
		return verdict.NotRun, true
	default:
		return verdict.MayHaveRun, true
	}
}

// executions returns how often the endpoints together ran each idempotency key.
func (f *fleet) executions(t *testing.T) map[string]int {
	t.Helper()
	total := make(map[string]int)
	for _, e := range f.endpoints {
		resp, err := http.Get("http://" + e.Address + standin.PathCounts)
		if err != nil {
			t.Fatal(err)
		}
		var counts standin.Counts
		err = json.NewDecoder(resp.Body).Decode(&counts)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		for key, n := range counts.ByIdempotencyKey {
			total[key] += n
		}
	}
	return total
}

// putFaults sets the faults that a stand-in injects.
func putFaults(t *testing.T, url, faults string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(faults))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("PUT %s: %s", url, resp.Status)
	}
}

// TestBookingsRunAtMostOnce sends each booking to two instances concurrently
// and checks that no booking runs twice. Meanwhile the endpoints shed requests
// and drop or truncate responses, the store drops responses, and one instance
// is killed. Callers then retry at the remaining instances.
func TestBookingsRunAtMostOnce(t *testing.T) {
	const bookings = 300
	f := startFleet(t, 3)
	for _, e := range f.endpoints {
		putFaults(t, "http://"+e.Address+standin.PathFaults, `{"shedPercent":20,"losePercent":5,"cutPercent":5}`)
	}
	responses := make([]bookingResponses, bookings)
	var mu sync.Mutex
	call := func(i *testInstance, n int) {
		v, responded := f.book(i, fmt.Sprint("booking-", n))
		mu.Lock()
		defer mu.Unlock()
		switch {
		case responded && v == verdict.Ran:
			responses[n].acked++
		case responded && v == verdict.NotRun:
			responses[n].notRun++
		default:
			responses[n].other++
		}
	}
	const batch = 30
	for first := 0; first < bookings; first += batch {
		putFaults(t, "http://"+f.platform+"/standin/faults", `{"loseAnswers":1}`)
		var wait sync.WaitGroup
		for n := first; n < first+batch; n++ {
			wait.Go(func() { call(f.instances[0], n) })
			wait.Go(func() { call(f.instances[1+n%2], n) })
		}
		if first == bookings/2 {
			f.instances[0].kill()
		}
		wait.Wait()
	}
	var wait sync.WaitGroup
	for n := range bookings {
		wait.Go(func() { call(f.instances[1+n%2], n) })
	}
	wait.Wait()
	checkBookings(t, responses, f.executions(t))
}

func checkBookings(t *testing.T, responses []bookingResponses, executions map[string]int) {
	t.Helper()
	acked, notRun := 0, 0
	for n, r := range responses {
		acked += min(r.acked, 1)
		notRun += r.notRun
		switch executed := executions[fmt.Sprint("booking-", n)]; {
		case executed > 1:
			t.Errorf("booking %d ran %d times: %+v", n, executed, r)
		case r.acked > 0 && executed == 0:
			t.Errorf("booking %d was acknowledged but did not run: %+v", n, r)
		case r.acked+r.other == 0 && executed > 0:
			t.Errorf("booking %d ran although every response said not-run: %+v", n, r)
		}
	}
	t.Logf("%d of %d bookings acknowledged, %d responses not-run", acked, len(responses), notRun)
	if acked < len(responses)/2 {
		t.Errorf("only %d of %d bookings were acknowledged", acked, len(responses))
	}
}
