package duty

import (
	"encoding/json"
	"fmt"
)

// eraShift is the number of bits of a fencing token below the era.
const eraShift = 32

// Row is the row of a duty.
type Row struct {
	// Holder is the name of the instance that holds the duty; empty if the row
	// does not exist.
	Holder string `json:"h"`
	// Started is the start number of the holder's process.
	Started int64 `json:"s"`
	// Token is the fencing token.
	Token uint64 `json:"t"`
	// Due is when the next action is due, in Unix milliseconds.
	Due int64 `json:"d,omitempty"`
	// StateEra is the store's era in which State was written.
	StateEra uint64 `json:"e,omitempty"`
	// Released is whether the holder has given up the claim. It never acts again under
	// the token. Earlier versions ignore it and wait until an action is overdue.
	Released bool `json:"l,omitempty"`
	// State is the duty's own state, a JSON value.
	State json.RawMessage `json:"x,omitempty"`

	// Revision and Era are the store's version of the row when it was read. In a
	// row to write they are the condition. Revision 0 means that there is no row.
	Revision uint64 `json:"-"`
	Era      uint64 `json:"-"`
}

// Encode returns the value of the row.
func (r Row) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode decodes the value of a row. After an error the returned row has only its
// version and may be passed to Observe: it counts as a row without a valid claim.
func Decode(value []byte, revision, era uint64) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{Revision: revision, Era: era}, fmt.Errorf("row of a duty at revision %d: %w", revision, err)
	}
	r.Revision, r.Era = revision, era
	return r, nil
}

// Restored reports whether the state may be older than what was last written,
// since the store has been restored after it was written.
func (r Row) Restored() bool { return r.StateEra != r.Era }

// valid reports whether the row's claim is in force. A token of another era was
// restored from a copy or written late, and permits nothing.
func (r Row) valid() bool { return r.notice().valid() }

// nextToken returns the fencing token of a claim on the row. Within an era each
// token is at most the era's floor plus the revision that the claim is conditional
// on, plus 1, so the token for an invalid row is above all that were given.
func (r Row) nextToken() uint64 {
	if r.valid() {
		return r.Token + 1
	}
	return r.Era<<eraShift + r.Revision + 1
}

// Notice is what instances tell each other of the row, so that instances other
// than the holder need not read it.
type Notice struct {
	Holder   string `json:"h"`
	Started  int64  `json:"s"`
	Token    uint64 `json:"t"`
	Due      int64  `json:"d"`
	Revision uint64 `json:"r"`
	Era      uint64 `json:"e,omitempty"`
	Released bool   `json:"l,omitempty"`
}

func (r Row) notice() Notice {
	return Notice{Holder: r.Holder, Started: r.Started, Token: r.Token, Due: r.Due, Revision: r.Revision, Era: r.Era, Released: r.Released}
}

func (n Notice) valid() bool { return n.Holder != "" && n.Token != 0 && n.Token>>eraShift == n.Era }

// after reports whether n tells of a later version of the row than o.
func (n Notice) after(o Notice) bool {
	return n.Era > o.Era || n.Era == o.Era && n.Revision > o.Revision
}
