package storage_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
)

// callTimeout bounds a call in these tests; only calls that get no response
// reach it.
const callTimeout = 300 * time.Millisecond

func newClient(t testing.TB, handler http.Handler) *storage.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := storage.NewClient(storage.Settings{URL: server.URL})
	t.Cleanup(client.Close)
	return client
}

// TestServiceContract runs the same calls against the stand-in store and
// against the client over HTTP.
func TestServiceContract(t *testing.T) {
	store := standin.NewStore()
	remoteStore := standin.NewStore()
	services := []struct {
		desc    string
		service storage.Service
		store   *standin.Store
	}{
		{"store", store, store},
		{"client", newClient(t, remoteStore.Handler()), remoteStore},
	}
	for _, tt := range services {
		t.Run(tt.desc, func(t *testing.T) {
			t.Run("table", func(t *testing.T) { checkTable(t, tt.service) })
			t.Run("objects", func(t *testing.T) { checkObjects(t, tt.service) })
			t.Run("instances", func(t *testing.T) { checkInstances(t, tt.service, tt.store) })
		})
	}
}

func checkTable(t *testing.T, table storage.Table) {
	ctx := context.Background()
	row, err := table.Get(ctx, "kano/none")
	if err != nil || row.Version != 0 {
		t.Fatalf("Get of a missing row = %+v, %v", row, err)
	}
	mustCommit(t, table, storage.Write{Key: "kano/a b?&", Value: []byte("one")})
	mustCommit(t, table,
		storage.Write{Key: "kano/a b?&", Expected: 1, Value: []byte("two")},
		storage.Write{Key: "kano/z", Value: []byte("new")})
	row, err = table.Get(ctx, "kano/a b?&")
	if err != nil || row.Version != 2 || string(row.Value) != "two" {
		t.Fatalf("Get = %+v, %v, want version 2 and value two", row, err)
	}
	checkConflict(t, table, storage.Write{Key: "kano/z", Expected: 7, Value: []byte("x")})
	checkConflict(t, table,
		storage.Write{Key: "kano/q", Value: []byte("x")},
		storage.Write{Key: "kano/z", Value: []byte("x")})
	rows, err := table.Scan(ctx, "kano/")
	if err != nil || len(rows) != 2 || rows[0].Key != "kano/a b?&" || rows[1].Key != "kano/z" {
		t.Fatalf("Scan = %+v, %v, want two rows in order and no kano/q", rows, err)
	}
	mustCommit(t, table, storage.Write{Key: "kano/z", Expected: 1, Delete: true})
	if row, err = table.Get(ctx, "kano/z"); err != nil || row.Version != 0 {
		t.Fatalf("Get after delete = %+v, %v", row, err)
	}
}

func mustCommit(t *testing.T, table storage.Table, writes ...storage.Write) {
	t.Helper()
	versions, err := table.Commit(context.Background(), writes)
	if err != nil || len(versions) != len(writes) {
		t.Fatalf("Commit = %v, %v", versions, err)
	}
	for i, w := range writes {
		if !w.Delete && versions[i] != w.Expected+1 {
			t.Fatalf("version of %s = %d, want %d", w.Key, versions[i], w.Expected+1)
		}
	}
}

func checkConflict(t *testing.T, table storage.Table, writes ...storage.Write) {
	t.Helper()
	_, err := table.Commit(context.Background(), writes)
	var conflict *storage.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("Commit = %v, want a conflict", err)
	}
	if conflict.Key != "kano/z" || conflict.Actual.Version != 1 || string(conflict.Actual.Value) != "new" {
		t.Fatalf("conflict = %+v, want the current row kano/z", conflict)
	}
}

func checkObjects(t *testing.T, objects storage.Objects) {
	ctx := context.Background()
	digest, err := objects.PutObject(ctx, []byte("document"))
	if err != nil || digest != storage.Digest([]byte("document")) {
		t.Fatalf("PutObject = %q, %v", digest, err)
	}
	content, err := objects.GetObject(ctx, digest)
	if err != nil || string(content) != "document" {
		t.Fatalf("GetObject = %q, %v", content, err)
	}
	_, err = objects.GetObject(ctx, storage.Digest([]byte("other")))
	var failure *storage.Error
	if !errors.As(err, &failure) || failure.Status != http.StatusNotFound {
		t.Fatalf("GetObject of a missing object = %v, want status 404", err)
	}
}

func checkInstances(t *testing.T, instances storage.Instances, store *standin.Store) {
	store.PutInstance("b", false)
	store.PutInstance("a", false)
	store.PutInstance("b", true)
	list, err := instances.ListInstances(context.Background())
	if err != nil || len(list) != 2 || list[0].Name != "a" || !list[1].Leaving {
		t.Fatalf("ListInstances = %+v, %v", list, err)
	}
	store.SetFaults(standin.Faults{InstancesLag: time.Hour})
	list, err = instances.ListInstances(context.Background())
	if err != nil || len(list) != 0 {
		t.Fatalf("list of an hour ago = %+v, %v, want none", list, err)
	}
}

// TestErrorEffectMatchesStore compares the effect in the client's error for a
// failed write with what the store did.
func TestErrorEffectMatchesStore(t *testing.T) {
	tests := []struct {
		desc    string
		faults  standin.Faults
		effect  storage.Effect
		written bool
	}{
		{"refused", standin.Faults{Refuse: true}, storage.EffectNone, false},
		{"connection broken", standin.Faults{Down: true}, storage.EffectUnknown, false},
		{"frozen", standin.Faults{Freeze: true}, storage.EffectUnknown, false},
		{"response lost", standin.Faults{LoseResponses: 1}, storage.EffectUnknown, true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			store := standin.NewStore()
			client := newClient(t, store.Handler())
			store.SetFaults(tt.faults)
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_, err := client.Commit(ctx, []storage.Write{{Key: "k", Value: []byte("v")}})
			checkEffect(t, err, tt.effect)
			store.SetFaults(standin.Faults{})
			row, err := client.Get(context.Background(), "k")
			if err != nil || (row.Version == 1) != tt.written {
				t.Fatalf("row afterwards = %+v, %v, want written %v", row, err, tt.written)
			}
		})
	}
}

func checkEffect(t *testing.T, err error, want storage.Effect) {
	t.Helper()
	var failure *storage.Error
	if !errors.As(err, &failure) || failure.Effect != want {
		t.Fatalf("error = %v, want effect %v", err, want)
	}
}

func TestUnreachableHasNoEffect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client := storage.NewClient(storage.Settings{URL: "http://" + address})
	_, err = client.Commit(context.Background(), []storage.Write{{Key: "k"}})
	checkEffect(t, err, storage.EffectNone)
}

// TestUnexpectedResponses gives the client responses that a correct service
// does not send, or that have no JSON body.
func TestUnexpectedResponses(t *testing.T) {
	tests := []struct {
		desc   string
		status int
		body   string
		effect storage.Effect
	}{
		{"server error without noEffect", 500, "oops", storage.EffectUnknown},
		{"server error with noEffect", 503, `{"noEffect":true}`, storage.EffectNone},
		{"client error", 400, "", storage.EffectNone},
		{"success that is no JSON", 200, "<html>", storage.EffectUnknown},
		{"too few versions", 200, `{"versions":[1]}`, storage.EffectUnknown},
		{"larger than the limit", 200, `{"versions":[1,` + strings.Repeat(" ", 1024) + `1]}`, storage.EffectUnknown},
		{"redirect", 302, "", storage.EffectUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			client := storage.NewClient(storage.Settings{URL: server.URL, MaxAnswer: 512})
			_, err := client.Commit(context.Background(), []storage.Write{{Key: "a"}, {Key: "b"}})
			checkEffect(t, err, tt.effect)
		})
	}
}

func TestGetRejectsUnexpectedRow(t *testing.T) {
	for _, body := range []string{`{"key":"b","version":1}`, `{"key":"a"}`, `{}`, `null`} {
		client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
		}))
		if row, err := client.Get(context.Background(), "a"); err == nil {
			t.Errorf("response %s was accepted as row %+v", body, row)
		}
	}
}

func TestWriteLargerThanTheLimitIsNotSent(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	client := storage.NewClient(storage.Settings{URL: server.URL, MaxWrite: 10})
	_, err := client.Commit(context.Background(), []storage.Write{{Key: "a", Value: make([]byte, 11)}})
	checkEffect(t, err, storage.EffectNone)
	if writes := store.Counts().Writes; writes != 0 {
		t.Fatalf("%d writes reached the store, want 0", writes)
	}
}

// TestFaultsOverHTTP sets a fault over HTTP, as scripts do.
func TestFaultsOverHTTP(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	req, _ := http.NewRequest(http.MethodPut, server.URL+standin.PathFaults, strings.NewReader(`{"refuse":true}`))
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatalf("PUT faults = %v, %v", resp, err)
	}
	_ = resp.Body.Close()
	if !store.Faults().Refuse {
		t.Fatal("the fault was not set")
	}
	if _, err := store.Scan(context.Background(), ""); err == nil {
		t.Fatal("Scan of a refusing store succeeded")
	}
}
