package attempt

import "slices"

const (
	// maxSends limits how often a transaction is sent.
	maxSends = 8
	// conflictsBeforeRead is the number of conflicts, of one row each, after
	// which the remaining rows are read before the next send.
	conflictsBeforeRead = 2
)

// Transaction is one group commit: many changes in one conditional write that
// takes effect as a whole or not at all. A conflict resolves the change that
// it names and leaves the others for the next send. If the answer to a send is
// lost, the same write is sent again: the record ID in the row that then
// conflicts shows whether the earlier send took effect.
type Transaction struct {
	changes []*Change
	// outcomeUnknown is set if an earlier send of at least these changes, with
	// these expected versions, may have taken effect or may still do so.
	outcomeUnknown bool
	sends          int
	conflicts      int
}

// NewTransaction returns a transaction of the changes, which must be of
// different rows.
func NewTransaction(changes []*Change) *Transaction {
	return &Transaction{changes: slices.Clone(changes)}
}

// Changes returns the changes that are not resolved.
func (t *Transaction) Changes() []*Change { return t.changes }

// NeedsSend reports whether the transaction is to be sent, or sent again.
func (t *Transaction) NeedsSend() bool { return len(t.changes) > 0 && t.sends < maxSends }

// NeedsRead reports whether the rows should be read before the next send,
// because several of them conflict.
func (t *Transaction) NeedsRead() bool {
	return t.conflicts >= conflictsBeforeRead && len(t.changes) > 1
}

// OnWritten resolves all changes after the store has confirmed the write.
func (t *Transaction) OnWritten() []ChangeResult {
	t.sends++
	return t.resolveAll(ResultWritten)
}

// OnUnknown records that a send was not answered.
func (t *Transaction) OnUnknown() {
	t.sends++
	t.outcomeUnknown = true
}

// OnRefused records that a send certainly had no effect.
func (t *Transaction) OnRefused() { t.sends++ }

// OnConflict records that a send had no effect because of one row, and
// resolves the changes that the row decides.
func (t *Transaction) OnConflict(row Row) []ChangeResult {
	t.sends++
	t.conflicts++
	return t.resolveByRow(row)
}

// OnRead resolves the changes that the rows decide.
func (t *Transaction) OnRead(rows []Row) []ChangeResult {
	t.conflicts = 0
	var results []ChangeResult
	for _, row := range rows {
		results = append(results, t.resolveByRow(row)...)
	}
	return results
}

// GiveUp resolves the remaining changes without further sends.
func (t *Transaction) GiveUp() []ChangeResult {
	if t.outcomeUnknown {
		return t.resolveAll(ResultUnknown)
	}
	return t.resolveAll(ResultNotWritten)
}

// resolveByRow resolves the changes that one row decides. If the row holds a
// change that only this transaction can have written, the whole transaction
// took effect.
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

// resolveAll gives all remaining changes the same result.
func (t *Transaction) resolveAll(result Result) []ChangeResult {
	results := make([]ChangeResult, 0, len(t.changes))
	for _, c := range t.changes {
		s := ChangeResult{Change: c, Result: result}
		switch result {
		case ResultWritten:
			s.Version = c.Expected + 1
		case ResultUnknown:
			c.maybeWritten = true
		}
		results = append(results, s)
	}
	t.changes = nil
	return results
}
