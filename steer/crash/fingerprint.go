package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
)

// Fingerprint identifies requests that ask for the same thing on behalf of the
// same caller. The request ID is not part of it, since each try of a caller has
// a new one.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Request is what a fingerprint is made of.
type Request struct {
	// Method, Host and Target are those of the request line and the Host header.
	// Target is the path with its query.
	Method, Host, Target string
	// Team is the team of the caller, "" on an open route.
	Team string
	// Body is the body, or its beginning if the request is streamed.
	Body []byte
	// Streamed reports whether Body is only the beginning.
	Streamed bool
}

// Fingerprint returns the request's fingerprint. It is a cryptographic hash, so
// that no caller can give its requests the fingerprint of another team's.
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{r.Method, r.Host, r.Target, r.Team, fmt.Sprint(r.Streamed)} {
		writeField(h, field)
	}
	_, _ = h.Write(r.Body) // a hash returns no error
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// writeField writes a field so that its end can be told from the next one.
func writeField(h hash.Hash, field string) {
	_ = binary.Write(h, binary.BigEndian, uint32(len(field))) // a hash returns no error
	_, _ = io.WriteString(h, field)
}
