package attempt

import "slices"

const (
	// maxSends bounds how often a transaction is sent.
	maxSends = 8
	// conflictsBeforeRead is how many conflicts a transaction may have, one
	// row each, before its other rows are read.
	conflictsBeforeRead = 2
)

// Transaction is one group commit: many changes in one conditional write,
// which takes effect as a whole or not at all. A conflict settles one change
// and leaves the others for the next send; a lost answer is settled by sending
// the same again, for then the row that conflicts tells by its id whether the
// earlier send took effect.
type Transaction struct {
	changes []*Change
	// outcomeUnknown says that an earlier send of at least these changes, with these
	// expected versions, may have taken effect or still may.
	outcomeUnknown bool
	sends          int
	conflicts      int
}

// NewTransaction returns a transaction of changes of different rows.
func NewTransaction(changes []*Change) *Transaction {
	return &Transaction{changes: slices.Clone(changes)}
}

// Changes returns the changes that are not settled.
func (t *Transaction) Changes() []*Change { return t.changes }

// NeedsSend tells whether the transaction is to be sent (again).
func (t *Transaction) NeedsSend() bool { return len(t.changes) > 0 && t.sends < maxSends }

// NeedsRead tells that the rows should be read before the next send, because
// several of them conflict.
func (t *Transaction) NeedsRead() bool {
	return t.conflicts >= conflictsBeforeRead && len(t.changes) > 1
}

// OnWritten settles all changes by the store's word.
func (t *Transaction) OnWritten() []ChangeResult {
	t.sends++
	return t.resolveAll(ResultWritten)
}

// OnUnknown notes that a send had no answer.
func (t *Transaction) OnUnknown() {
	t.sends++
	t.outcomeUnknown = true
}

// OnRefused notes that a send certainly took no effect.
func (t *Transaction) OnRefused() { t.sends++ }

// OnConflict notes that a send took no effect because of one row, and settles
// what that row tells.
func (t *Transaction) OnConflict(row Row) []ChangeResult {
	t.sends++
	t.conflicts++
	return t.resolveByRow(row)
}

// OnRead settles what rows that were read tell.
func (t *Transaction) OnRead(rows []Row) []ChangeResult {
	t.conflicts = 0
	var settled []ChangeResult
	for _, s := range rows {
		settled = append(settled, t.resolveByRow(s)...)
	}
	return settled
}

// GiveUp settles the changes that are left.
func (t *Transaction) GiveUp() []ChangeResult {
	if t.outcomeUnknown {
		return t.resolveAll(ResultUnknown)
	}
	return t.resolveAll(ResultNotWritten)
}

// resolveByRow settles what one row tells.
func (t *Transaction) resolveByRow(row Row) []ChangeResult {
	at := slices.IndexFunc(t.changes, func(c *Change) bool { return c.Key == row.Key })
	if at < 0 || t.changes[at].Expected == row.Version {
		return nil
	}
	change := t.changes[at]
	match := change.compareRow(row)
	if match == matchOwn && t.outcomeUnknown && !change.maybeWritten {
		return t.resolveAll(ResultWritten)
	}
	if match == matchRetry {
		change.Expected = row.Version
		return nil
	}
	t.changes = slices.Delete(t.changes, at, at+1)
	if match == matchOwn {
		return []ChangeResult{{Change: change, Result: ResultWritten, Version: row.Version}}
	}
	return []ChangeResult{{Change: change, Result: ResultConflict, Current: row.Record}}
}

func (t *Transaction) resolveAll(result Result) []ChangeResult {
	settled := make([]ChangeResult, 0, len(t.changes))
	for _, c := range t.changes {
		s := ChangeResult{Change: c, Result: result}
		switch result {
		case ResultWritten:
			s.Version = c.Expected + 1
		case ResultUnknown:
			c.maybeWritten = true
		}
		settled = append(settled, s)
	}
	t.changes = nil
	return settled
}
