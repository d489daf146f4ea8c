package configuration

import (
	"fmt"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
)

// StaleKeyPolicy says what happens to keyed requests while an instance can't know
// whether a key was withdrawn.
type StaleKeyPolicy string

const (
	// RefuseStale refuses them. This is the default.
	RefuseStale StaleKeyPolicy = "refuse"
	// ServeStale serves them with the keys last known. A withdrawn key then
	// works on an instance for as long as it is cut off.
	ServeStale StaleKeyPolicy = "serve"
)

// KeyReason says why a key was refused, for metrics and for callers.
type KeyReason string

// Reasons of a KeyError.
const (
	// KeyUnknown means that no key in force has this digest.
	KeyUnknown KeyReason = "key-unknown"
	// KeyStale means that the instance can't know whether the key is in
	// force.
	KeyStale KeyReason = "key-stale"
	// KeyNotReady means that the instance has no document yet.
	KeyNotReady KeyReason = "not-ready"
)

// KeyError is a refused key. Nothing was sent on because of it.
type KeyError struct {
	// Reason says why.
	Reason KeyReason
}

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("key refused: %s", e.Reason) }

// Source gives the snapshot in force. Watcher implements it.
type Source interface {
	// Current returns the snapshot in force; never nil.
	Current() *Snapshot
}

// Keyring checks callers' keys. It is safe for use by many goroutines.
type Keyring struct {
	source      Source
	stalePolicy StaleKeyPolicy
}

// NewKeyring returns a keyring over source.
func NewKeyring(source Source, stalePolicy StaleKeyPolicy) *Keyring {
	return &Keyring{source: source, stalePolicy: stalePolicy}
}

// Grant is a key that was accepted. It holds the key's digest, not the key.
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

// Revalidate says whether the key still works for the same team. It is cheap enough
// to be called for each piece of a long upload, and belongs right before a
// request is sent. Errors: *KeyError.
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
