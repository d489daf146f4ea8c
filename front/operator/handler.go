package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// ConfigurationWatcher is the part of an instance that the pages show and tell.
// *configuration.Watcher implements it.
type ConfigurationWatcher interface {
	configuration.Source
	// Report returns what the instance knows.
	Report() generation.Report
	// ApplyHead takes in a head with its document.
	ApplyHead(ctx context.Context, head generation.Head, content []byte) error
}

// maxHeadBody bounds the body at PathHead, in bytes: base64 takes four bytes
// for three.
const maxHeadBody = document.MaxSize*4/3 + 4096

// Register adds the pages of an instance to mux.
func Register(mux *http.ServeMux, f ConfigurationWatcher) {
	p := &pages{follower: f}
	mux.HandleFunc("GET "+PathStatus, p.status)
	mux.HandleFunc("POST "+PathHead, p.head)
}

type pages struct {
	follower ConfigurationWatcher
}

func (p *pages) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, newStatus(p.follower.Report(), p.follower.Current(), time.Now()))
}

// head takes in a head and answers with the status after it.
func (p *pages) head(w http.ResponseWriter, r *http.Request) {
	var told HeadAnnouncement
	body := http.MaxBytesReader(w, r.Body, maxHeadBody)
	if err := json.NewDecoder(body).Decode(&told); err != nil {
		writeJSON(w, http.StatusBadRequest, Refusal{Error: err.Error()})
		return
	}
	if err := p.follower.ApplyHead(r.Context(), told.Head, told.Content); err != nil {
		writeJSON(w, http.StatusConflict, Refusal{Error: err.Error()})
		return
	}
	p.status(w, r)
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}
