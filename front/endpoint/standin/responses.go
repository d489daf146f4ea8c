package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

const (
	// queryBytes is the query parameter that requests a streamed response of
	// that many bytes.
	queryBytes = "bytes"
	// maxBytes bounds the length of a response requested with queryBytes.
	maxBytes = 1 << 32
	// chunkSize is the size of the writes of a streamed response, in bytes.
	chunkSize = 64 << 10
)

// Echo is the content of a response: the endpoint's identity and the request
// that it received.
type Echo struct {
	Endpoint  string      `json:"endpoint"`
	Version   string      `json:"version"`
	Method    string      `json:"method"`
	Path      string      `json:"path"`
	Query     string      `json:"query"`
	Header    http.Header `json:"header"`
	BodyBytes int64       `json:"bodyBytes"`
	// BodySHA256 is the hex digest of the body.
	BodySHA256 string `json:"bodySha256"`
}

// bodyDigest is the length and digest of a request body.
type bodyDigest struct {
	bytes  int64
	sha256 string
}

// digestBody reads a body without buffering it.
func digestBody(body io.Reader) (bodyDigest, error) {
	hash := sha256.New()
	n, err := io.Copy(hash, body)
	if err != nil {
		return bodyDigest{}, err
	}
	return bodyDigest{bytes: n, sha256: hex.EncodeToString(hash.Sum(nil))}, nil
}

// writeResponse writes the response according to the plan.
func (e *Endpoint) writeResponse(w http.ResponseWriter, r *http.Request, p plan, body bodyDigest) {
	if p.dropResponse {
		panic(http.ErrAbortHandler)
	}
	if p.fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	size, err := strconv.ParseInt(r.URL.Query().Get(queryBytes), 10, 64)
	if err == nil && size >= 0 && size <= maxBytes {
		streamResponse(w, size, p.truncate)
		return
	}
	e.writeEcho(w, r, p, body)
}

func (e *Endpoint) writeEcho(w http.ResponseWriter, r *http.Request, p plan, body bodyDigest) {
	content, err := json.Marshal(Echo{
		Endpoint:   e.settings.Name,
		Version:    e.settings.Version,
		Method:     r.Method,
		Path:       r.URL.Path,
		Query:      r.URL.RawQuery,
		Header:     r.Header,
		BodyBytes:  body.bytes,
		BodySHA256: body.sha256,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if p.truncate {
		truncateResponse(w, content[:len(content)/2])
	}
	_, _ = w.Write(content)
}

// streamResponse writes size bytes, or half of them and then breaks the
// connection if truncate is set.
func streamResponse(w http.ResponseWriter, size int64, truncate bool) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	left := size
	if truncate {
		left = size / 2
	}
	chunk := make([]byte, chunkSize)
	for left > 0 {
		n := min(left, chunkSize)
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
	if truncate {
		truncateResponse(w, nil)
	}
}

// truncateResponse writes part of a response and breaks the connection.
func truncateResponse(w http.ResponseWriter, part []byte) {
	_, _ = w.Write(part)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (e *Endpoint) serveCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Counts())
}

func (e *Endpoint) serveFaults(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Faults())
}

func (e *Endpoint) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	var f Faults
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
