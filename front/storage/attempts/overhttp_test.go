package attempts

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
)

// TestLostAnswersOverHTTP claims each key at two instances at once through the
// HTTP client while the store loses responses. No key may be granted twice.
func TestLostAnswersOverHTTP(t *testing.T) {
	const keys, burst = 400, 8
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	var recorders []*Recorder
	for i := range 2 {
		client := storage.NewClient(storage.Settings{URL: server.URL})
		defer client.Close()
		r, stop := startRecorder(t, DefaultSettings(), client, fmt.Sprint("kano-", i))
		defer stop()
		waitReady(r)
		recorders = append(recorders, r)
	}
	var mu sync.Mutex
	granted := make(map[string]int)
	notRun := make(map[string]int)
	for first := 0; first < keys; first += keys / burst {
		store.SetFaults(standin.Faults{LoseResponses: 1})
		var wait sync.WaitGroup
		for i := first; i < first+keys/burst; i++ {
			for _, r := range recorders {
				wait.Go(func() {
					key := fmt.Sprint("key-", i)
					_, err := r.Begin(context.Background(), requestFor(key))
					var conflict *ConflictError
					mu.Lock()
					defer mu.Unlock()
					switch {
					case err == nil:
						granted[key]++
					case !errors.As(err, &conflict):
						notRun[key]++
					}
				})
			}
		}
		wait.Wait()
	}
	for i := range keys {
		key := fmt.Sprint("key-", i)
		if granted[key] > 1 || granted[key] == 0 && notRun[key] == 0 {
			t.Errorf("%s was granted %d times and refused %d times as not run", key, granted[key], notRun[key])
		}
	}
	t.Logf("%d keys granted, %d refused, store %+v", len(granted), len(notRun), store.Counts())
	if len(granted) < keys/2 {
		t.Errorf("only %d of %d keys were granted", len(granted), keys)
	}
}
