package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/cardamomfront/cardamomfront/front/storage"
)

// Paths of the stand-in for tests, which the platform does not have.
const (
	// PathFaults accepts GET and PUT of Faults as JSON.
	PathFaults = "/standin/faults"
	// PathCounts accepts GET of Counts as JSON.
	PathCounts = "/standin/counts"
	// PathInstance, followed by an instance's name, accepts PUT of a
	// storage.ListedInstance as JSON, and DELETE.
	PathInstance = "/standin/instances/"
)

// maxBody bounds a request body, in bytes.
const maxBody = 64 << 20

// Handler serves the store over HTTP as storage.Client expects it, and the
// faults, counts and list entries below "/standin/".
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storage.PathRows, s.serveScan)
	mux.HandleFunc("GET "+storage.PathRow, s.serveGet)
	mux.HandleFunc("PUT "+storage.PathRow, s.servePut)
	mux.HandleFunc("DELETE "+storage.PathRow, s.serveDelete)
	mux.HandleFunc("POST "+storage.PathTransactions, s.serveTransaction)
	mux.HandleFunc("PUT "+storage.PathObjects+"{digest}", s.servePutObject)
	mux.HandleFunc("GET "+storage.PathObjects+"{digest}", s.serveGetObject)
	mux.HandleFunc("GET "+storage.PathInstances, s.serveInstances)
	mux.HandleFunc("GET "+PathFaults, s.serveFaults)
	mux.HandleFunc("PUT "+PathFaults, s.serveSetFaults)
	mux.HandleFunc("GET "+PathCounts, s.serveCounts)
	mux.HandleFunc("PUT "+PathInstance+"{name}", s.servePutInstance)
	mux.HandleFunc("DELETE "+PathInstance+"{name}", s.serveRemoveInstance)
	return http.MaxBytesHandler(mux, maxBody)
}

func (s *Store) serveScan(w http.ResponseWriter, r *http.Request) {
	rows, err := s.Scan(r.Context(), r.URL.Query().Get(storage.QueryPrefix))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, storage.ScanResponse{Rows: rows})
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	row, err := s.Get(r.Context(), r.URL.Query().Get(storage.QueryKey))
	if err != nil {
		writeError(w, err)
		return
	}
	if row.Version == 0 {
		writeJSON(w, http.StatusNotFound, storage.ErrorResponse{Reason: "no such row"})
		return
	}
	w.Header().Set("ETag", storage.EntityTag(row.Version))
	writeJSON(w, http.StatusOK, row)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(r.Body)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	write := storage.Write{Key: r.URL.Query().Get(storage.QueryKey), Expected: expected, Value: value}
	versions, err := s.Commit(r.Context(), []storage.Write{write})
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", storage.EntityTag(versions[0]))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	write := storage.Write{Key: r.URL.Query().Get(storage.QueryKey), Expected: expected, Delete: true}
	if _, err := s.Commit(r.Context(), []storage.Write{write}); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// expectedVersion returns the row version in the request's precondition, which
// every write of a row needs. Without one it responds with status 428 (RFC
// 6585, section 3).
func expectedVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	tag := r.Header.Get("If-Match")
	if tag == "" {
		writeJSON(w, http.StatusPreconditionRequired, storage.ErrorResponse{Reason: "a write needs If-Match or If-None-Match: *"})
		return 0, false
	}
	version, err := storage.ParseEntityTag(tag)
	if err != nil {
		writeBadRequest(w, err)
		return 0, false
	}
	return version, true
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	var request storage.TransactionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		writeBadRequest(w, err)
		return
	}
	versions, err := s.Commit(r.Context(), request.Writes)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, storage.TransactionResponse{Versions: versions})
}

func (s *Store) servePutObject(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	if storage.Digest(content) != r.PathValue("digest") {
		writeJSON(w, http.StatusBadRequest, storage.ErrorResponse{Reason: "content does not match its digest"})
		return
	}
	if _, err := s.PutObject(r.Context(), content); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveGetObject(w http.ResponseWriter, r *http.Request) {
	content, err := s.GetObject(r.Context(), r.PathValue("digest"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(content)
}

func (s *Store) serveInstances(w http.ResponseWriter, r *http.Request) {
	list, err := s.ListInstances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, storage.InstancesResponse{Instances: list})
}

func (s *Store) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Store) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		writeBadRequest(w, err)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func (s *Store) servePutInstance(w http.ResponseWriter, r *http.Request) {
	var instance storage.ListedInstance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		writeBadRequest(w, err)
		return
	}
	s.PutInstance(r.PathValue("name"), instance.Leaving)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveRemoveInstance(w http.ResponseWriter, r *http.Request) {
	s.RemoveInstance(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

// writeError responds as the platform would. For a fault that leaves the call
// without a response, it breaks the connection.
func writeError(w http.ResponseWriter, err error) {
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		writeJSON(w, http.StatusPreconditionFailed, storage.ErrorResponse{
			Reason:   "a row has another version",
			Conflict: &storage.ConflictDetail{Key: conflict.Key, Expected: conflict.Expected, Actual: conflict.Actual},
		})
		return
	}
	var failure *storage.Error
	if !errors.As(err, &failure) || failure.Status == 0 && failure.Effect == storage.EffectUnknown || errors.Is(err, ErrDown) {
		panic(http.ErrAbortHandler)
	}
	status := failure.Status
	if status == 0 {
		status = http.StatusBadRequest
	}
	writeJSON(w, status, storage.ErrorResponse{Reason: err.Error(), NoEffect: failure.Effect == storage.EffectNone})
}

func writeBadRequest(w http.ResponseWriter, err error) {
	writeJSON(w, http.StatusBadRequest, storage.ErrorResponse{Reason: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
