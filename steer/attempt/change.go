package attempt

// Kind tells what a change does to a record.
type Kind uint8

const (
	// KindClaim claims a key before its request is sent.
	KindClaim Kind = iota
	// KindFinish records the outcome of a claim.
	KindFinish
	// KindRelease records that the request of a claim did not run. It also
	// resolves a claim whose write has an unknown outcome: once the release is
	// written, the claim can no longer be.
	KindRelease
)

// Change is a conditional write of one record.
type Change struct {
	Kind Kind
	// Key is the row's key.
	Key string
	// Expected is the version that the row must have; 0 means that the row
	// must not exist.
	Expected uint64
	// Record is the new content.
	Record Record
	// maybeWritten is set if an earlier, abandoned transaction may have
	// written the change.
	maybeWritten bool
}

// Result is the outcome of a change.
type Result uint8

const (
	// ResultUnknown means that the change may have been written, or may still
	// be.
	ResultUnknown Result = iota
	// ResultWritten means that the change is in the table.
	ResultWritten
	// ResultNotWritten means that the change was not written and will not be.
	ResultNotWritten
	// ResultConflict means that the row holds another record, and that the
	// change was not written and will not be.
	ResultConflict
)

// ChangeResult is a change with its result.
type ChangeResult struct {
	Change *Change
	Result Result
	// Version is the row's version if Result is ResultWritten.
	Version uint64
	// Current is the record in the row if Result is ResultConflict. Its State
	// is empty if the row's content can't be decoded.
	Current Record
}

// Row is a row as read from the table.
type Row struct {
	Key string
	// Version is 0 if the row does not exist.
	Version uint64
	// Record is the row's content. Its State is empty if the row does not
	// exist or its content can't be decoded.
	Record Record
}

// rowMatch tells how a row with an unexpected version relates to a change.
type rowMatch uint8

const (
	// matchOwn: the row already holds the change.
	matchOwn rowMatch = iota
	// matchOther: the row holds something else, and the change can't be
	// written any more.
	matchOther
	// matchRetry: the change can be written on top of the row's current
	// version.
	matchRetry
)

// compareRow compares the change with a row whose version is not the expected
// one.
func (c *Change) compareRow(row Row) rowMatch {
	own := row.Record.ID == c.Record.ID
	if own && row.Record.State == c.Record.State {
		return matchOwn
	}
	free := row.Version == 0 || row.Record.State == StateReleased && !own
	if c.Kind == KindClaim && free {
		return matchRetry
	}
	if c.Kind != KindClaim && own && row.Record.State == StateRunning {
		return matchRetry
	}
	return matchOther
}
