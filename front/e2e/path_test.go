package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cardamomfront/cardamomfront/front/endpoint/standin"
	"github.com/cardamomfront/cardamomfront/front/operator/request"
)

// newCaller returns a client that sends requests with a key on its own
// connections.
func newCaller(f *fleet, key string) *request.Client {
	return &request.Client{
		HTTP:  &http.Client{Transport: &http.Transport{}},
		Seeds: []string{f.instances[0].url()},
		Key:   key,
	}
}

// response is a complete response of an instance.
type response struct {
	status int
	header http.Header
	body   []byte
}

// sendTo sends one request to an instance and reads the complete response.
func sendTo(t *testing.T, c *http.Client, base, method, path, key string, body io.Reader) response {
	t.Helper()
	req, err := http.NewRequest(method, base+path, body)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := c.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: content}
}

// TestWholePath sends requests from the entries response through an instance to
// an endpoint, promotes a second generation that withdraws a key, and stops all
// instances gracefully.
func TestWholePath(t *testing.T) {
	f := startFleet(t, 3)
	caller := newCaller(f, keyWard)
	got, err := caller.Send(context.Background(), request.Request{Method: http.MethodGet, Path: "/tracker/mats?ward=1"})
	if err != nil {
		t.Fatal(err)
	}
	if got.Status != http.StatusOK || got.Verdict != "ran" {
		t.Fatalf("response = %+v, want status 200 and verdict ran", got)
	}
	var echo standin.Echo
	if err := json.Unmarshal([]byte(got.Body), &echo); err != nil {
		t.Fatal(err)
	}
	checkEcho(t, echo, got)
	var printed request.Response
	out := mustCtl(t, "request", "--entry", f.instances[1].url(), "GET", "/hours")
	if err := json.Unmarshal([]byte(out), &printed); err != nil || printed.Status != http.StatusOK {
		t.Errorf("cardamomctl request printed %s (%v)", out, err)
	}
	t.Run("keys", func(t *testing.T) { testKeys(t, f) })
	t.Run("upload", func(t *testing.T) { testUpload(t, f) })
	t.Run("withdrawal", func(t *testing.T) { testWithdrawal(t, f) })
	for _, i := range f.instances {
		i.stop(t)
	}
}

// checkEcho checks the request of the ward team as the endpoint received it.
func checkEcho(t *testing.T, echo standin.Echo, resp request.Response) {
	t.Helper()
	if echo.Path != "/tracker/mats" || echo.Query != "ward=1" {
		t.Errorf("endpoint received %s?%s", echo.Path, echo.Query)
	}
	if got := echo.Header.Get("Cardamomfront-Team"); got != "ward-01" {
		t.Errorf("endpoint received team %q, want ward-01", got)
	}
	if got := echo.Header.Get("Cardamomfront-Request-Id"); got != resp.RequestID || got == "" {
		t.Errorf("endpoint received request id %q, the caller %q", got, resp.RequestID)
	}
	if strings.Contains(resp.Body, keyWard) {
		t.Errorf("endpoint received the caller's key")
	}
}

func testKeys(t *testing.T, f *fleet) {
	tests := []struct {
		desc   string
		path   string
		key    string
		status int
		reason string
	}{
		{"no key", "/tracker/mats", "", http.StatusUnauthorized, "no-key"},
		{"unknown key", "/tracker/mats", "wrong-key-000000000000", http.StatusUnauthorized, "unknown-key"},
		{"open route", "/hours", "", http.StatusOK, ""},
		{"no route", "/elsewhere", keyWard, http.StatusNotFound, "no-route"},
		{"key in the path", "/tracker/" + keyWard, keyWard, http.StatusBadRequest, "key-in-url"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			for _, i := range f.instances {
				got := sendTo(t, http.DefaultClient, i.url(), http.MethodGet, tt.path, tt.key, nil)
				if got.status != tt.status || got.header.Get("Cardamomfront-Reason") != tt.reason {
					t.Errorf("%s: %d %s, want %d %s", i.name, got.status, got.header.Get("Cardamomfront-Reason"), tt.status, tt.reason)
				}
				if tt.reason != "" && got.header.Get("Cardamomfront-Verdict") != "not-run" {
					t.Errorf("%s: verdict %q, want not-run", i.name, got.header.Get("Cardamomfront-Verdict"))
				}
			}
		})
	}
}

// uploadBytes is the size of a large upload, in bytes.
const uploadBytes = 128 << 20

// testUpload sends a large body through one instance and checks that it arrives
// unchanged and that the peak memory of the instance does not exceed its size.
func testUpload(t *testing.T, f *fleet) {
	i := f.instances[0]
	sum := sha256.New()
	chunk := bytes.Repeat([]byte("mat "), 1<<18)
	var parts []io.Reader
	for range uploadBytes / len(chunk) {
		parts = append(parts, bytes.NewReader(chunk))
		sum.Write(chunk)
	}
	got := sendTo(t, http.DefaultClient, i.url(), http.MethodPut, "/tracker/upload/1", keyLarge, io.MultiReader(parts...))
	if got.status != http.StatusOK {
		t.Fatalf("upload: %d %s", got.status, got.body)
	}
	var echo standin.Echo
	if err := json.Unmarshal(got.body, &echo); err != nil {
		t.Fatal(err)
	}
	if want := hex.EncodeToString(sum.Sum(nil)); echo.BodySHA256 != want {
		t.Errorf("endpoint received a body with digest %s, want %s", echo.BodySHA256, want)
	}
	if peak := peakMemory(t, i.cmd.Process.Pid); peak > uploadBytes {
		t.Errorf("peak memory of the instance is %d bytes for an upload of %d bytes", peak, uploadBytes)
	}
}

// testWithdrawal withdraws the ward team's key and checks that every instance
// refuses it, also on a connection on which it was accepted before.
func testWithdrawal(t *testing.T, f *fleet) {
	client := &http.Client{Transport: &http.Transport{}}
	for _, i := range f.instances {
		if got := sendTo(t, client, i.url(), http.MethodGet, "/tracker/mats", keyWard, nil); got.status != http.StatusOK {
			t.Fatalf("before the withdrawal: status %d", got.status)
		}
	}
	f.promote(t, documentOptions{WithoutWard: true}, 1)
	for _, i := range f.instances {
		eventually(t, "key withdrawn on "+i.name, func() error {
			got := sendTo(t, client, i.url(), http.MethodGet, "/tracker/mats", keyWard, nil)
			if got.status != http.StatusUnauthorized {
				return fmt.Errorf("status %d", got.status)
			}
			return nil
		})
		if got := sendTo(t, client, i.url(), http.MethodGet, "/tracker/mats", keyLarge, nil); got.status != http.StatusOK {
			t.Errorf("another team's key: status %d", got.status)
		}
	}
}
