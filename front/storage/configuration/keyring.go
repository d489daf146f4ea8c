package configuration

import (
	"fmt"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
)

// StaleKeyPolicy selects how requests with a key are handled while the
// instance's snapshot is stale, so that it can't know whether the key was
// withdrawn.
type StaleKeyPolicy string

const (
	// RefuseStale refuses the requests. This is the default.
	RefuseStale StaleKeyPolicy = "refuse"
	// ServeStale checks them against the last known keys. A withdrawn key then
	// keeps working on an instance for as long as the instance is partitioned
	// from the store and its peers.
	ServeStale StaleKeyPolicy = "serve"
)

// KeyReason is the reason for refusing a key, as it appears in metrics and in
// responses to callers.
type KeyReason string

// Reasons of a KeyError.
const (
	// KeyUnknown means that the document in force has no such key.
	KeyUnknown KeyReason = "key-unknown"
	// KeyStale means that the snapshot is stale, so the key may have been
	// withdrawn.
	KeyStale KeyReason = "key-stale"
	// KeyNotReady means that the instance has no document yet.
	KeyNotReady KeyReason = "not-ready"
)

// KeyError is returned for a refused key. The request has not been forwarded.
type KeyError struct {
	// Reason is why the key was refused.
	Reason KeyReason
}

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("key refused: %s", e.Reason) }

// Source provides the snapshot in force. Watcher implements it.
type Source interface {
	// Current returns the snapshot in force; never nil.
	Current() *Snapshot
}

// Keyring checks callers' keys against the snapshot in force. It is safe for
// concurrent use.
type Keyring struct {
	source      Source
	stalePolicy StaleKeyPolicy
}

// NewKeyring returns a Keyring that checks keys against snapshots of source.
func NewKeyring(source Source, stalePolicy StaleKeyPolicy) *Keyring {
	return &Keyring{source: source, stalePolicy: stalePolicy}
}

// Grant is an accepted key. It holds the key's digest, not the key itself.
type Grant struct {
	// Team is the team that the key belongs to.
	Team *document.Team
	// Snapshot is the snapshot that the key was checked against.
	Snapshot *Snapshot

	keyring *Keyring
	sum     document.KeySum
}

// Authenticate checks a key against the snapshot in force. Errors: *KeyError.
func (k *Keyring) Authenticate(key string) (*Grant, error) {
	snapshot := k.source.Current()
	if !snapshot.Ready {
		return nil, &KeyError{Reason: KeyNotReady}
	}
	sum := document.SumKey(key)
	team := snapshot.Index.TeamByKeySum(sum)
	if team == nil {
		return nil, &KeyError{Reason: KeyUnknown}
	}
	if !k.accepts(snapshot) {
		return nil, &KeyError{Reason: KeyStale}
	}
	return &Grant{Team: team, Snapshot: snapshot, keyring: k, sum: sum}, nil
}

func (k *Keyring) accepts(snapshot *Snapshot) bool {
	return k.stalePolicy == ServeStale || snapshot.Fresh(time.Now())
}

// Revalidate checks that the key is still valid for the same team. It is cheap
// enough to call for each chunk of a long upload, and should be called right
// before a request is forwarded. Errors: *KeyError.
func (g *Grant) Revalidate() error {
	snapshot := g.keyring.source.Current()
	if !g.keyring.accepts(snapshot) {
		return &KeyError{Reason: KeyStale}
	}
	if snapshot.Index == g.Snapshot.Index {
		return nil
	}
	team := snapshot.Index.TeamByKeySum(g.sum)
	if team == nil || team.Name != g.Team.Name {
		return &KeyError{Reason: KeyUnknown}
	}
	return nil
}
