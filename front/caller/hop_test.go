package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/endpoint/standin"
	"github.com/cardamomfront/cardamomfront/steer/health"
)

// ignoreOutcomes is an observer that discards outcomes.
type ignoreOutcomes struct{}

func (ignoreOutcomes) Observe(string, health.Outcome, time.Duration) {}

// fixedSender sends all requests to one endpoint.
type fixedSender struct {
	client  *endpoint.Client
	address string
}

func (s fixedSender) Send(ctx context.Context, _ endpoint.Target, r *endpoint.Request) (*endpoint.Response, error) {
	return s.client.Send(ctx, endpoint.Target{Address: s.address}, r)
}

// get fetches url once and returns the elapsed time.
func get(b *testing.B, c *http.Client, url string) time.Duration {
	begin := time.Now()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := c.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("status %s", resp.Status)
	}
	return time.Since(begin)
}

// BenchmarkHop compares requests through an instance with direct ones,
// alternating between the two. It reports the ratio of their times and the
// added time.
func BenchmarkHop(b *testing.B) {
	back := httptest.NewServer(standin.New(standin.Settings{Name: "e", Version: "v1"}).Handler())
	defer back.Close()
	c := &fakeSource{}
	c.setIndex(testIndex(b, true), false)
	client := endpoint.NewClient(endpoint.Settings{}, ignoreOutcomes{})
	defer client.Close()
	s, _ := testServer(b, c, fixedSender{client, back.Listener.Addr().String()}.sendFunc())
	front := httptest.NewServer(s)
	defer front.Close()
	user := &http.Client{Transport: &http.Transport{}}
	var direct, hop time.Duration
	b.ReportAllocs()
	for b.Loop() {
		direct += get(b, user, back.URL+"/tracker/1")
		hop += get(b, user, front.URL+"/tracker/1")
	}
	b.ReportMetric(hop.Seconds()/direct.Seconds(), "ratio")
	b.ReportMetric(float64((hop-direct).Microseconds())/float64(b.N), "added-us/op")
}

// sendFunc returns the sender as a function.
func (s fixedSender) sendFunc() senderFunc {
	return func(ctx context.Context, r *endpoint.Request) (*endpoint.Response, error) {
		return s.Send(ctx, endpoint.Target{}, r)
	}
}
