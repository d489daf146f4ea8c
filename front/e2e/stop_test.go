package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/cardamomfront/cardamomfront/front/endpoint/standin"
)

// TestPlannedStopCutsNoUpload stops an instance during an upload. The upload
// must continue after the instance has stopped listening and get a complete
// response.
func TestPlannedStopCutsNoUpload(t *testing.T) {
	f := startFleet(t, 1)
	i := f.instances[0]
	body, sender := io.Pipe()
	type result struct {
		status int
		seen   standin.Echo
		err    error
	}
	results := make(chan result, 1)
	go func() {
		var r result
		defer func() { results <- r }()
		req, err := http.NewRequest(http.MethodPut, i.url()+"/tracker/upload/1", body)
		if err != nil {
			r.err = err
			return
		}
		req.Header.Set("Authorization", "Bearer "+keyLarge)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			r.err = err
			return
		}
		defer resp.Body.Close()
		r.status = resp.StatusCode
		r.err = json.NewDecoder(resp.Body).Decode(&r.seen)
	}()
	half := strings.Repeat("photo ", 10_000)
	if _, err := io.WriteString(sender, half); err != nil {
		t.Fatal(err)
	}
	i.signal(t, syscall.SIGTERM)
	eventually(t, "wait for the instance to stop listening", func() error {
		resp, err := http.Get(i.url() + "/hours")
		if err != nil {
			return nil
		}
		defer resp.Body.Close()
		return fmt.Errorf("it responds with %s", resp.Status)
	})
	if _, err := io.WriteString(sender, half); err != nil {
		t.Fatal(err)
	}
	_ = sender.Close()
	got := <-results
	if got.err != nil || got.status != http.StatusOK {
		t.Fatalf("upload: status %d, %v", got.status, got.err)
	}
	if want := int64(2 * len(half)); got.seen.BodyBytes != want {
		t.Errorf("the endpoint received %d bytes, want %d", got.seen.BodyBytes, want)
	}
	<-i.done
	if i.err != nil {
		t.Errorf("the instance exited with %v", i.err)
	}
}
