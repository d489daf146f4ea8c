package configuration

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

// WithdrawnKey is a key that was withdrawn permanently. It has a row of its
// own, written in one transaction with the head row, so that no later document,
// such as one from an old file, can restore the key.
type WithdrawnKey struct {
	// ID is the name that the key had in the document.
	ID string `json:"id"`
	// Digest is the key's digest.
	Digest string `json:"digest"`
}

// WithdrawnError is returned for a document that contains a withdrawn key.
// Nothing was changed.
type WithdrawnError struct {
	// Team is the team that has the key in the document.
	Team string
	// Key is the withdrawn key.
	Key WithdrawnKey
}

// Error implements error.
func (e *WithdrawnError) Error() string {
	return fmt.Sprintf("team %q has key %s, which was withdrawn as %q", e.Team, e.Key.Digest, e.Key.ID)
}

// withdrawnPrefix returns the row key prefix of an environment's withdrawn
// keys.
func withdrawnPrefix(environment string) string { return environment + "/withdrawn/" }

// checkWithdrawn returns a *WithdrawnError if the document contains a withdrawn
// key.
func checkWithdrawn(ctx context.Context, table storage.Table, doc *document.Document) error {
	rows, err := table.Scan(ctx, withdrawnPrefix(doc.Environment))
	if err != nil {
		return err
	}
	withdrawn := make(map[string]WithdrawnKey, len(rows))
	for _, row := range rows {
		var key WithdrawnKey
		if err := json.Unmarshal(row.Value, &key); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		withdrawn[key.Digest] = key
	}
	for _, team := range doc.Teams {
		for _, key := range team.Keys {
			if match, found := withdrawn[key.Digest]; found {
				return &WithdrawnError{Team: team.Name, Key: match}
			}
		}
	}
	return nil
}

// withdrawnWrites returns the writes that record keys as withdrawn.
func withdrawnWrites(environment string, keys []WithdrawnKey) ([]storage.Write, error) {
	writes := make([]storage.Write, 0, len(keys))
	for _, key := range keys {
		value, err := json.Marshal(key)
		if err != nil {
			return nil, err
		}
		writes = append(writes, storage.Write{Key: withdrawnPrefix(environment) + key.Digest, Value: value})
	}
	return writes, nil
}
