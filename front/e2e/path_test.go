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

// callerOf returns a caller with a key, on connections of its own.
func callerOf(f *fleet, key string) *request.Client {
	return &request.Client{
		HTTP:  &http.Client{Transport: &http.Transport{}},
		Seeds: []string{f.instances[0].url()},
		Key:   key,
	}
}

// reply is a whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// sendTo sends one request to one instance.
func sendTo(t *testing.T, c *http.Client, base, method, path, key string, body io.Reader) reply {
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
	return reply{status: resp.StatusCode, header: resp.Header, body: content}
}

// TestWholePath takes a request from entry answers to the endpoint's answer and
// back, moves to a second generation and stops everything in order.
func TestWholePath(t *testing.T) {
	f := startFleet(t, 3)
	caller := callerOf(f, keyWard)
	answer, err := caller.Send(context.Background(), request.Request{Method: http.MethodGet, Path: "/tracker/mats?ward=1"})
	if err != nil {
		t.Fatal(err)
	}
	if answer.Status != http.StatusOK || answer.Verdict != "ran" {
		t.Fatalf("answer = %+v, want 200 and ran", answer)
	}
	var seen standin.Echo
	if err := json.Unmarshal([]byte(answer.Body), &seen); err != nil {
		t.Fatal(err)
	}
	checkEcho(t, seen, answer)
	var byTool request.Response
	out := mustCtl(t, "request", "--entry", f.instances[1].url(), "GET", "/hours")
	if err := json.Unmarshal([]byte(out), &byTool); err != nil || byTool.Status != http.StatusOK {
		t.Errorf("cardamomctl request printed %s (%v)", out, err)
	}
	t.Run("keys", func(t *testing.T) { testKeys(t, f) })
	t.Run("upload", func(t *testing.T) { testUpload(t, f) })
	t.Run("withdrawal", func(t *testing.T) { testWithdrawal(t, f) })
	for _, i := range f.instances {
		i.stop(t)
	}
}

// checkEcho checks what the endpoint saw of a ward team's request.
func checkEcho(t *testing.T, seen standin.Echo, answer request.Response) {
	t.Helper()
	if seen.Path != "/tracker/mats" || seen.Query != "ward=1" {
		t.Errorf("endpoint saw %s?%s", seen.Path, seen.Query)
	}
	if got := seen.Header.Get("Cardamomfront-Team"); got != "ward-01" {
		t.Errorf("endpoint saw team %q, want ward-01", got)
	}
	if got := seen.Header.Get("Cardamomfront-Request-Id"); got != answer.RequestID || got == "" {
		t.Errorf("endpoint saw request id %q, the caller %q", got, answer.RequestID)
	}
	if strings.Contains(answer.Body, keyWard) {
		t.Errorf("endpoint saw the caller's key")
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

// testUpload sends a large body through one instance and bounds the memory
// that the instance takes for it.
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
	var seen standin.Echo
	if err := json.Unmarshal(got.body, &seen); err != nil {
		t.Fatal(err)
	}
	if want := hex.EncodeToString(sum.Sum(nil)); seen.BodySHA256 != want {
		t.Errorf("endpoint got a body with digest %s, want %s", seen.BodySHA256, want)
	}
	if peak := peakMemory(t, i.cmd.Process.Pid); peak > uploadBytes {
		t.Errorf("instance took %d bytes at its peak for an upload of %d bytes", peak, uploadBytes)
	}
}

// testWithdrawal withdraws the ward team's key and expects every instance to
// refuse it, on a connection that has served it before.
func testWithdrawal(t *testing.T, f *fleet) {
	kept := &http.Client{Transport: &http.Transport{}}
	for _, i := range f.instances {
		if got := sendTo(t, kept, i.url(), http.MethodGet, "/tracker/mats", keyWard, nil); got.status != http.StatusOK {
			t.Fatalf("before the withdrawal: %d", got.status)
		}
	}
	f.promote(t, documentOptions{WithoutWard: true}, 1)
	for _, i := range f.instances {
		eventually(t, "key withdrawn on "+i.name, func() error {
			got := sendTo(t, kept, i.url(), http.MethodGet, "/tracker/mats", keyWard, nil)
			if got.status != http.StatusUnauthorized {
				return fmt.Errorf("status %d", got.status)
			}
			return nil
		})
		if got := sendTo(t, kept, i.url(), http.MethodGet, "/tracker/mats", keyLarge, nil); got.status != http.StatusOK {
			t.Errorf("another team's key: %d", got.status)
		}
	}
}
