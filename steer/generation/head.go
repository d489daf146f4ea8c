package generation

import "fmt"

// Head names the document in force.
type Head struct {
	// Generation counts promotions and starts at 1; 0 means that no document
	// is known.
	Generation uint64 `json:"generation"`
	// Digest names the document, in the form of document.Digest.
	Digest string `json:"digest"`
}

// Relation says how an offered head stands to the one that is followed.
type Relation uint8

const (
	// Older means that the offered head was superseded; it is ignored.
	Older Relation = iota
	// Same means that the offered head is the one that is followed.
	Same
	// Newer means that the offered head supersedes the one that is followed.
	Newer
	// Forked means that the offered head has the same generation and another
	// digest. The store has lost a promotion; the offered head is refused.
	Forked
)

// String names the relation for logs.
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

// Compare says how offered stands to h.
func (h Head) Compare(offered Head) Relation {
	switch {
	case offered.Generation > h.Generation:
		return Newer
	case offered.Generation < h.Generation:
		return Older
	case offered.Digest != h.Digest:
		return Forked
	default:
		return Same
	}
}
