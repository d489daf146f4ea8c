package relayclient

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/relay"
	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/reach"
)

// ignoredOutcomes ignores the outcomes of requests.
type ignoredOutcomes struct{}

func (ignoredOutcomes) Observe(string, health.Outcome, time.Duration) {}

// Guards against a helper that is not told its limit of endpoints, and against
// requests that are sent to a busy helper although another one is idle.
func TestRequestCountsUntilItsResponseIsRead(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	limit := 0
	s := httptest.NewServer(relay.NewHandler(func(r *http.Request) (*endpoint.Response, *relay.Failure) {
		limit = MaxEndpoints(r)
		return &endpoint.Response{Status: http.StatusOK, ContentLength: 2, Body: io.NopCloser(strings.NewReader("ok"))}, nil
	}, log))
	t.Cleanup(s.Close)
	c := New(ignoredOutcomes{})
	t.Cleanup(c.client.Close)
	busy := reach.Helper{Name: "busy", Address: s.Listener.Addr().String()}
	c.SetHelpers(func() []reach.Helper {
		return []reach.Helper{busy, {Name: "idle", Address: "idle", RoundTrip: time.Millisecond}}
	})
	chosen := func() string {
		h, _ := c.Choose(nil, nil)
		return h.Name
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://front/book", nil)
	if err != nil {
		t.Fatal(err)
	}
	var text []byte
	err = c.Send(ctx, busy, endpoint.Request{HTTP: r, Deadline: time.Now().Add(time.Minute)}, 2, func(response *endpoint.Response) (err error) {
		if name := chosen(); name != "idle" {
			t.Errorf("while a request runs at a helper, %q is chosen", name)
		}
		text, err = io.ReadAll(response.Body)
		return err
	})
	if err != nil || string(text) != "ok" || limit != 2 {
		t.Errorf("response %q, error %v, limit of endpoints %d", text, err, limit)
	}
	if name := chosen(); name != "busy" {
		t.Errorf("after the request, %q is chosen", name)
	}
}

// Guards against a helper that is tried twice, and one outside the regions that may
// see the request.
func TestTriedHelpersAndOtherRegionsAreNotChosen(t *testing.T) {
	c := New(ignoredOutcomes{})
	t.Cleanup(c.client.Close)
	c.SetHelpers(func() []reach.Helper {
		return []reach.Helper{{Name: "a", Address: "a", Region: "east"}, {Name: "b", Address: "b", Region: "west"}}
	})
	if h, ok := c.Choose(nil, map[string]bool{"a": true}); !ok || h.Name != "b" {
		t.Errorf("with one tried, %q is chosen", h.Name)
	}
	if h, ok := c.Choose([]string{"east"}, nil); !ok || h.Name != "a" {
		t.Errorf("for one region, %q is chosen", h.Name)
	}
	if h, ok := c.Choose([]string{"east"}, map[string]bool{"a": true}); ok {
		t.Errorf("with the only one tried, %q is chosen", h.Name)
	}
}
