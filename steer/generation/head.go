package generation

import "fmt"

// Head identifies the document in force.
type Head struct {
	// Generation counts promotions and starts at 1; 0 means that no document
	// is known.
	Generation uint64 `json:"generation"`
	// Digest is the document's digest, in the form of document.Digest.
	Digest string `json:"digest"`
}

// Relation is the result of comparing a received head with the followed one.
type Relation uint8

const (
	// Older means that the received head was superseded; it is ignored.
	Older Relation = iota
	// Same means that the received head is the one that is followed.
	Same
	// Newer means that the received head supersedes the one that is followed.
	Newer
	// Forked means that the received head has the same generation but another
	// digest: the store has lost a promotion. The received head is refused.
	Forked
)

// String returns the relation's name for logs.
func (r Relation) String() string {
	switch r {
	case Older:
		return "older"
	case Same:
		return "same"
	case Newer:
		return "newer"
	case Forked:
		return "forked"
	default:
		return fmt.Sprintf("relation(%d)", uint8(r))
	}
}

// Compare returns the relation of the received head to h.
func (h Head) Compare(received Head) Relation {
	switch {
	case received.Generation > h.Generation:
		return Newer
	case received.Generation < h.Generation:
		return Older
	case received.Digest != h.Digest:
		return Forked
	default:
		return Same
	}
}
