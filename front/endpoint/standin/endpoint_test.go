package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func start(t *testing.T, faults Faults) (*Endpoint, *httptest.Server) {
	t.Helper()
	endpoint := New(Settings{Name: "ledger-1", Version: "v2"})
	endpoint.SetFaults(faults)
	server := httptest.NewServer(endpoint.Handler())
	t.Cleanup(server.Close)
	return endpoint, server
}

func TestEchoesWhatItGot(t *testing.T) {
	endpoint, server := start(t, Faults{})
	req, _ := http.NewRequest(http.MethodPost, server.URL+"/ledger/pay?a=1", strings.NewReader("body"))
	req.Header.Set(HeaderIdempotencyKey, "booking-1")
	req.Header.Set(HeaderRequestID, "r-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var echo Echo
	if err := json.NewDecoder(resp.Body).Decode(&echo); err != nil {
		t.Fatal(err)
	}
	if echo.Endpoint != "ledger-1" || echo.Version != "v2" || echo.Path != "/ledger/pay" || echo.BodyBytes != 4 {
		t.Fatalf("echo = %+v", echo)
	}
	counts := endpoint.Counts()
	if counts.ByIdempotencyKey["booking-1"] != 1 || counts.ByRequestID["r-1"] != 1 {
		t.Fatalf("counts = %+v", counts)
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		desc     string
		faults   Faults
		status   int
		bodyErr  bool
		executed uint64
	}{
		{"sound", Faults{}, 200, false, 1},
		{"sheds", Faults{ShedPercent: 100}, 503, false, 0},
		{"fails", Faults{FailPercent: 100}, 500, false, 1},
		{"fails after a time", Faults{FailAfter: time.Nanosecond}, 500, false, 1},
		{"cuts the answer", Faults{CutPercent: 100}, 200, true, 1},
		{"loses the answer", Faults{LosePercent: 100}, 0, false, 1},
		{"freezes", Faults{FreezePercent: 100}, 0, false, 1},
		{"answers too late", Faults{LatePercent: 100, LateBy: time.Hour}, 0, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			endpoint, server := start(t, tt.faults)
			timeout := 10 * time.Second
			if tt.faults.FreezePercent+tt.faults.LatePercent > 0 {
				timeout = 100 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/?bytes=1000000", nil)
			status, bodyErr := 0, error(nil)
			if resp, err := http.DefaultClient.Do(req); err == nil {
				status = resp.StatusCode
				_, bodyErr = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if status != tt.status || (bodyErr != nil) != tt.bodyErr {
				t.Fatalf("status %d, body error %v, want %d and %v", status, bodyErr, tt.status, tt.bodyErr)
			}
			if executed := endpoint.Counts().Executed; executed != tt.executed {
				t.Fatalf("executed %d times, want %d", executed, tt.executed)
			}
		})
	}
}

func TestShedsAboveItsSlots(t *testing.T) {
	endpoint := New(Settings{Slots: 1})
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	if _, admitted := endpoint.begin(r); !admitted {
		t.Fatal("the first request was shed")
	}
	if _, admitted := endpoint.begin(r); admitted {
		t.Fatal("the second request was admitted to one slot")
	}
	endpoint.end()
	if _, admitted := endpoint.begin(r); !admitted {
		t.Fatal("the slot was not free again")
	}
}
