package storage_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/cardamomfront/cardamomfront/front/storage"
)

// FuzzAnswers gives the client arbitrary statuses, entity tags and bodies. The
// client must not report a write as successful without its version. It must
// not report that a write had no effect if the response is a 2xx or 5xx whose
// body does not set noEffect. The fuzz test checks the second rule only for
// statuses below 400.
func FuzzAnswers(f *testing.F) {
	f.Add(200, `"3"`, `{"versions":[1,2]}`)
	f.Add(204, `"1"`, ``)
	f.Add(412, ``, `{"reason":"x","conflict":{"key":"a","expected":0,"actual":{"key":"a","version":2,"value":"eA=="}}}`)
	f.Add(503, ``, `{"noEffect":true}`)
	f.Add(500, ``, `null`)
	var status int
	var tag, body string
	client := newClient(f, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Etag"] = []string{tag}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	f.Fuzz(func(t *testing.T, s int, e, b string) {
		if s < 200 || s > 599 {
			return
		}
		status, tag, body = s, e, b
		for _, writes := range [][]storage.Write{{{Key: "a"}}, {{Key: "a"}, {Key: "b"}}} {
			versions, err := client.Commit(context.Background(), writes)
			checkFuzzed(t, s, writes, versions, err)
		}
		_, _ = client.Scan(context.Background(), "a")
		_, _ = client.Get(context.Background(), "a")
	})
}

func checkFuzzed(t *testing.T, status int, writes []storage.Write, versions []uint64, err error) {
	t.Helper()
	var conflict *storage.ConflictError
	var failure *storage.Error
	switch {
	case err == nil:
		if status >= 300 || len(versions) != len(writes) {
			t.Fatalf("status %d accepted as success with versions %v", status, versions)
		}
	case errors.As(err, &conflict):
		if status != http.StatusConflict && status != http.StatusPreconditionFailed {
			t.Fatalf("status %d reported as a conflict", status)
		}
	case errors.As(err, &failure):
		if failure.Effect == storage.EffectNone && status < 400 {
			t.Fatalf("status %d reported as no effect: %v", status, err)
		}
	default:
		t.Fatalf("unexpected error type: %v", err)
	}
}
