package operator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	members "github.com/cardamomfront/cardamomfront/front/storage/membership"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// instance is a configuration watcher that accepts every head, or none.
type instance struct {
	name    string
	refuses bool

	mu   sync.Mutex
	head generation.Head
}

func (i *instance) currentHead() generation.Head {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.head
}

func (i *instance) Current() *configuration.Snapshot {
	return &configuration.Snapshot{Head: i.currentHead()}
}

func (i *instance) Report() generation.Report {
	return generation.Report{From: generation.Location{Instance: i.name}, Head: i.currentHead()}
}

func (i *instance) ApplyHead(_ context.Context, head generation.Head, _ []byte) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.refuses {
		return &configuration.HeadRefusedError{Offered: head, Current: i.head}
	}
	i.head = head
	return nil
}

// network routes requests to instances by address. Other addresses do not
// respond.
type network map[string]*instance

// RoundTrip implements http.RoundTripper.
func (n network) RoundTrip(r *http.Request) (*http.Response, error) {
	i, known := n[r.URL.Host]
	if !known {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	mux := http.NewServeMux()
	Register(mux, i)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

func TestRolloutWait(t *testing.T) {
	head := generation.Head{Generation: 2, Digest: "d2"}
	old := generation.Head{Generation: 1, Digest: "d1"}
	tests := []struct {
		desc        string
		instance    *instance // nil: does not respond
		storeDown   bool
		want        Outcome
		minDuration time.Duration
	}{
		{"accepts the head", &instance{head: old}, false, Confirmed, 0},
		{"accepts the head while the store is down", &instance{head: old}, true, Confirmed, 0},
		{"follows a newer head", &instance{head: generation.Head{Generation: 3}}, false, Confirmed, 0},
		{"refuses the head", &instance{head: old, refuses: true}, false, Straggler, time.Minute},
		{"does not respond", nil, false, Stale, generation.DefaultStaleAfter},
		{"does not respond while the store is down", nil, true, Straggler, time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.NewStore()
				store.SetFaults(standin.Faults{Refuse: tt.storeDown})
				n := network{}
				if tt.instance != nil {
					n["i:1"] = tt.instance
				}
				r := &Rollout{
					Client: NewClient(&http.Client{Transport: n}), Store: store, Environment: "e",
					Instances: []ListedInstance{{Name: "i", Addr: "i:1"}}, StaleAfter: generation.DefaultStaleAfter,
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				started := time.Now()
				results := r.Wait(ctx, head, []byte("content"))
				if got := results[0].Outcome; got != tt.want {
					t.Errorf("outcome = %v, want %v", got, tt.want)
				}
				if took := time.Since(started); took < tt.minDuration {
					t.Errorf("took %v, want at least %v", took, tt.minDuration)
				}
			})
		})
	}
}

func putRow(t *testing.T, store *standin.Store, name, value string) {
	t.Helper()
	write := storage.Write{Key: members.InstancesPrefix("e") + name, Value: []byte(value)}
	if _, err := store.Commit(t.Context(), []storage.Write{write}); err != nil {
		t.Fatal(err)
	}
}

func TestEachInstanceIsListedOnce(t *testing.T) {
	store := standin.NewStore()
	putRow(t, store, "i-1", `{"name":"i-1","process":"p-1","operatorAddress":"a:1"}`)
	putRow(t, store, "i-2~2", `{"name":"i-2~2","process":"p-2","generation":7}`)
	putRow(t, store, "i-3", `{"name":"i-3","process":"p-3"}`)
	c := NewClient(&http.Client{Transport: network{"a:1": {name: "p-1"}, "b:1": {name: "p-2"}, "c:1": {name: "p-9"}}})
	instances, err := ListInstances(t.Context(), store, "e", []string{"a:1", "b:1", "c:1"})
	if err != nil {
		t.Fatal(err)
	}
	instances = c.Identify(t.Context(), instances)
	want := []ListedInstance{
		{Name: "i-1", Addr: "a:1", process: "p-1"},
		{Name: "i-2~2", Addr: "b:1", RowGeneration: 7, process: "p-2"},
		{Name: "i-3", process: "p-3"},
		{Addr: "c:1"},
	}
	if !slices.Equal(instances, want) {
		t.Errorf("instances = %+v, want %+v", instances, want)
	}
}

// TestHeadIsAnnouncedDuringIdentification checks that an instance that does not
// respond does not delay the announcement to the others.
func TestHeadIsAnnouncedDuringIdentification(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network{"a:1": {name: "p-1"}}
		r := &Rollout{Client: NewClient(&http.Client{Transport: n}), Instances: []ListedInstance{{Addr: "frozen:1"}, {Addr: "a:1"}}}
		head := generation.Head{Generation: 2, Digest: "d2"}
		go r.AnnounceAndIdentify(t.Context(), head, nil)
		synctest.Wait()
		if got := n["a:1"].currentHead(); got != head {
			t.Errorf("head = %v while the call to the unresponsive instance was pending, want %v", got, head)
		}
		time.Sleep(time.Minute)
	})
}

// TestRolloutByRow covers an instance whose operator listener is unknown: the
// generation is taken from the row that the instance renews.
func TestRolloutByRow(t *testing.T) {
	for generationInRow, want := range map[string]Outcome{"1": Stale, "2": Confirmed} {
		synctest.Test(t, func(t *testing.T) {
			store := standin.NewStore()
			putRow(t, store, "i-1", `{"name":"i-1","generation":`+generationInRow+`}`)
			r := &Rollout{Store: store, Environment: "e", Instances: []ListedInstance{{Name: "i-1"}}, StaleAfter: generation.DefaultStaleAfter}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			if got := r.Wait(ctx, generation.Head{Generation: 2}, nil)[0].Outcome; got != want {
				t.Errorf("generation %s in the row: %v, want %v", generationInRow, got, want)
			}
		})
	}
}

// TestChangeAfterAnotherPromotion has another operator promote a document
// between the read and the write of a change. Both changes must be in force.
func TestChangeAfterAnotherPromotion(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	content, err := os.ReadFile("../../examples/kano.yaml")
	if err != nil {
		t.Fatal(err)
	}
	store := standin.NewStore()
	p := configuration.NewPromoter(store)
	first := configuration.PromotionRequest{Environment: "kano-trial", File: "kano.yaml", Content: content, Operation: "op-1", Operator: "ana"}
	if _, err := p.Promote(ctx, first); err != nil {
		t.Fatal(err)
	}
	raced := false
	edit := func(doc *document.Document) ([]configuration.WithdrawnKey, error) {
		if !raced {
			raced = true
			if _, err := Change(ctx, p, "kano-trial", "bilal", AddKey("ward-01", "ward-01-b", "new-key")); err != nil {
				return nil, err
			}
		}
		return WithdrawKey("ward-05-a")(doc)
	}
	changed, err := Change(ctx, p, "kano-trial", "ana", edit)
	if err != nil || changed.Generation != 3 {
		t.Fatalf("changed to generation %d, %v", changed.Generation, err)
	}
	doc, err := document.Decode("changed", changed.Content)
	if err != nil {
		t.Fatal(err)
	}
	index := document.Compile(doc)
	if index.TeamByKey("new-key") == nil || index.TeamByKey("example-key-ward-05") != nil {
		t.Error("one of the two changes is not in force")
	}
	first.ExpectedGeneration, first.Operation = 3, "op-2"
	var withdrawn *configuration.WithdrawnError
	if _, err = p.Promote(ctx, first); !errors.As(err, &withdrawn) || withdrawn.Key.ID != "ward-05-a" {
		t.Errorf("promotion of an old file with a withdrawn key: %v", err)
	}
	_, err = Change(ctx, p, "kano-trial", "ana", WithdrawKey("ward-05-a"))
	var missing *NotFoundError
	if !errors.As(err, &missing) {
		t.Errorf("second withdrawal of a key: %v", err)
	}
}
