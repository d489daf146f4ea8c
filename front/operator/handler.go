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

// ConfigurationWatcher is the part of an instance that the handlers use.
// *configuration.Watcher implements it.
type ConfigurationWatcher interface {
	configuration.Source
	// Report returns what the instance currently knows of the document in
	// force.
	Report() generation.Report
	// ApplyHead adopts a head with its document, or returns why it is refused.
	ApplyHead(ctx context.Context, head generation.Head, content []byte) error
}

// maxHeadBody limits the size of a request body at PathHead, in bytes. Base64
// encodes three bytes of the document in four.
const maxHeadBody = document.MaxSize*4/3 + 4096

// Register adds the handlers of an instance's operator listener to mux.
func Register(mux *http.ServeMux, watcher ConfigurationWatcher) {
	h := &handler{watcher: watcher}
	mux.HandleFunc("GET "+PathStatus, h.status)
	mux.HandleFunc("POST "+PathHead, h.head)
}

type handler struct {
	watcher ConfigurationWatcher
}

func (h *handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, newStatus(h.watcher.Report(), h.watcher.Current(), time.Now()))
}

// head applies an announced head and responds with the status afterwards.
func (h *handler) head(w http.ResponseWriter, r *http.Request) {
	var announcement Head
	body := http.MaxBytesReader(w, r.Body, maxHeadBody)
	if err := json.NewDecoder(body).Decode(&announcement); err != nil {
		writeJSON(w, http.StatusBadRequest, Refusal{Error: err.Error()})
		return
	}
	if err := h.watcher.ApplyHead(r.Context(), announcement.Head, announcement.Content); err != nil {
		writeJSON(w, http.StatusConflict, Refusal{Error: err.Error()})
		return
	}
	h.status(w, r)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
