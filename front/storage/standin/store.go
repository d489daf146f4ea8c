// Package standin is an in-memory stand-in for the platform's service, for
// tests and for a first run on one machine. It persists nothing.
//
// Store implements storage.Service for tests within one process; Handler serves
// the same store over HTTP.
package standin

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
)

var (
	errInvalidWrite = errors.New("a write needs a key, and a delete an expected version")
	errDuplicateKey = errors.New("a transaction names a row twice")
	errNoSuchObject = errors.New("no such object")
)

// Counts holds the number of calls that reached the store.
type Counts struct {
	// Reads counts Scan, Get, GetObject and ListInstances.
	Reads uint64 `json:"reads"`
	// Writes counts Commit and PutObject, including failed calls.
	Writes uint64 `json:"writes"`
	// RowsWritten counts the rows written or deleted by commits.
	RowsWritten uint64 `json:"rowsWritten"`
	// Conflicts counts the commits refused because of a row's version.
	Conflicts uint64 `json:"conflicts"`
}

// Store is an in-memory storage.Service. Create it with NewStore.
type Store struct {
	now func() time.Time

	mu              sync.Mutex
	rows            map[string]storage.Row
	objects         map[string][]byte
	instanceChanges []instanceChange
	faults          Faults
	counts          Counts
}

var _ storage.Service = (*Store)(nil)

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{
		now:     time.Now,
		rows:    make(map[string]storage.Row),
		objects: make(map[string][]byte),
	}
}

// Counts returns the counts since the store was created.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Scan implements storage.Table.
func (s *Store) Scan(ctx context.Context, prefix string) ([]storage.Row, error) {
	if err := s.beginRead(ctx, "scan"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storage.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			row.Value = slices.Clone(row.Value)
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b storage.Row) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// Get implements storage.Table.
func (s *Store) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := s.beginRead(ctx, "get"); err != nil {
		return storage.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.row(key)
	row.Value = slices.Clone(row.Value)
	return row, nil
}

// row returns a row, with version 0 if it does not exist. The caller holds
// s.mu.
func (s *Store) row(key string) storage.Row {
	row, found := s.rows[key]
	if !found {
		return storage.Row{Key: key}
	}
	return row
}

// Commit implements storage.Table.
func (s *Store) Commit(ctx context.Context, writes []storage.Write) ([]uint64, error) {
	if err := s.beginWrite(ctx, "commit"); err != nil {
		return nil, err
	}
	versions, err := s.apply(writes)
	if err != nil {
		return nil, err
	}
	if err := s.loseResponse("commit"); err != nil {
		return nil, err
	}
	return versions, nil
}

func (s *Store) apply(writes []storage.Write) ([]uint64, error) {
	if err := checkWrites(writes); err != nil {
		return nil, &storage.Error{Op: "commit", Effect: storage.EffectNone, Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		actual := s.row(w.Key)
		if actual.Version != w.Expected {
			s.counts.Conflicts++
			return nil, &storage.ConflictError{Key: w.Key, Expected: w.Expected, Actual: actual}
		}
	}
	versions := make([]uint64, len(writes))
	for i, w := range writes {
		versions[i] = s.applyWrite(w)
	}
	return versions, nil
}

// applyWrite applies one write whose version has been checked and returns the
// row's new version. The caller holds s.mu.
func (s *Store) applyWrite(w storage.Write) uint64 {
	s.counts.RowsWritten++
	if w.Delete {
		delete(s.rows, w.Key)
		return 0
	}
	row := storage.Row{Key: w.Key, Version: w.Expected + 1, Value: slices.Clone(w.Value)}
	s.rows[w.Key] = row
	return row.Version
}

func checkWrites(writes []storage.Write) error {
	seen := make(map[string]struct{}, len(writes))
	for _, w := range writes {
		if w.Key == "" || w.Delete && w.Expected == 0 {
			return errInvalidWrite
		}
		if _, duplicate := seen[w.Key]; duplicate {
			return errDuplicateKey
		}
		seen[w.Key] = struct{}{}
	}
	return nil
}

// PutObject implements storage.Objects.
func (s *Store) PutObject(ctx context.Context, content []byte) (string, error) {
	if err := s.beginWrite(ctx, "put object"); err != nil {
		return "", err
	}
	digest := storage.Digest(content)
	s.mu.Lock()
	s.objects[digest] = slices.Clone(content)
	s.mu.Unlock()
	if err := s.loseResponse("put object"); err != nil {
		return "", err
	}
	return digest, nil
}

// GetObject implements storage.Objects.
func (s *Store) GetObject(ctx context.Context, digest string) ([]byte, error) {
	if err := s.beginRead(ctx, "get object"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	content, found := s.objects[digest]
	if !found {
		return nil, &storage.Error{Op: "get object", Effect: storage.EffectNone, Status: http.StatusNotFound, Err: errNoSuchObject}
	}
	return slices.Clone(content), nil
}
