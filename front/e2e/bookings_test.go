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

// bookingResponses is what the callers of one booking were told.
type bookingResponses struct {
	acked  int
	notRun int
	other  int
}

// book makes one booking at an instance. A killed instance gives no reply.
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

// executions adds up the endpoints' counts by idempotency key.
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

// putFaults sends a stand-in its faults.
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

// TestBookingsRunAtMostOnce makes each booking at two instances at once, while
// endpoints shed, lose and cut answers, the store loses answers, and one
// instance is killed in the middle; callers repeat at the instances left.
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
			t.Errorf("booking %d was acknowledged and lost: %+v", n, r)
		case r.acked+r.other == 0 && executed > 0:
			t.Errorf("booking %d ran although every caller was told not-run: %+v", n, r)
		}
	}
	t.Logf("%d of %d bookings acknowledged, %d replies not-run", acked, len(responses), notRun)
	if acked < len(responses)/2 {
		t.Errorf("%d of %d bookings were acknowledged", acked, len(responses))
	}
}
