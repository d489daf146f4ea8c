package operator

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

// keyBytes is the length of a new key before it is encoded as text.
const keyBytes = 32

// NewKey returns a new random key as text.
func NewKey() string {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // never returns an error
	return base64.RawURLEncoding.EncodeToString(raw)
}

// NotFoundError is returned if the document does not contain the named item.
type NotFoundError struct {
	// Kind is "team", "key" or "drain".
	Kind string
	// Name is the name of the missing item.
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("the document in force has no %s %q", e.Kind, e.Name)
}

// Edit changes a document in place and returns the keys that it withdraws. It
// may be applied again to a newer document.
type Edit func(doc *document.Document) ([]configuration.WithdrawnKey, error)

// AddKey adds a key to a team.
func AddKey(team, id, key string) Edit {
	return func(doc *document.Document) ([]configuration.WithdrawnKey, error) {
		for i := range doc.Teams {
			if doc.Teams[i].Name == team {
				newKey := document.Key{ID: id, Digest: document.KeyDigest(key)}
				doc.Teams[i].Keys = append(doc.Teams[i].Keys, newKey)
				return nil, nil
			}
		}
		return nil, &NotFoundError{Kind: "team", Name: team}
	}
}

// WithdrawKey removes a key from its team permanently.
func WithdrawKey(id string) Edit {
	return func(doc *document.Document) ([]configuration.WithdrawnKey, error) {
		for i := range doc.Teams {
			team := &doc.Teams[i]
			index := slices.IndexFunc(team.Keys, func(k document.Key) bool { return k.ID == id })
			if index >= 0 {
				withdrawn := configuration.WithdrawnKey{ID: id, Digest: team.Keys[index].Digest}
				team.Keys = slices.Delete(team.Keys, index, index+1)
				return []configuration.WithdrawnKey{withdrawn}, nil
			}
		}
		return nil, &NotFoundError{Kind: "key", Name: id}
	}
}

// DrainRegion adds a drain of a region and replaces any existing drain of it.
func DrainRegion(region string, from, deadline time.Time) Edit {
	return func(doc *document.Document) ([]configuration.WithdrawnKey, error) {
		doc.Drains = slices.DeleteFunc(doc.Drains, func(d document.Drain) bool { return d.Region == region })
		doc.Drains = append(doc.Drains, document.Drain{Region: region, From: from, Deadline: deadline})
		return nil, nil
	}
}

// CancelDrain removes the drain of a region.
func CancelDrain(region string) Edit {
	return func(doc *document.Document) ([]configuration.WithdrawnKey, error) {
		before := len(doc.Drains)
		doc.Drains = slices.DeleteFunc(doc.Drains, func(d document.Drain) bool { return d.Region == region })
		if len(doc.Drains) == before {
			return nil, &NotFoundError{Kind: "drain", Name: region}
		}
		return nil, nil
	}
}
