package attempt

// Kind is what a change does to a record.
type Kind uint8

const (
	// KindClaim claims a key before its request is sent.
	KindClaim Kind = iota
	// KindFinish records the outcome of a claim.
	KindFinish
	// KindRelease records that a claim's request has not run. It also settles
	// a claim of which it is unknown whether it was written: once the release
	// stands, the claim can't be written any more.
	KindRelease
)

// Change is one conditional write of a record.
type Change struct {
	Kind Kind
	// Key is the record's row.
	Key string
	// Expected is the version that the row must have, 0 for no row.
	Expected uint64
	// Record is the new content.
	Record Record
	// maybeWritten says that an earlier transaction, which was given up, may
	// have written the change already.
	maybeWritten bool
}

// Result is what became of a change.
type Result uint8

const (
	// ResultUnknown means that the change may have been written, or may
	// still be.
	ResultUnknown Result = iota
	// ResultWritten means that the change stands in the table.
	ResultWritten
	// ResultNotWritten means that the change was not and will not be written.
	ResultNotWritten
	// ResultConflict means that another record stands, and that the change was
	// not and will not be written.
	ResultConflict
)

// ChangeResult is a change with its result.
type ChangeResult struct {
	Change *Change
	Result Result
	// Version is the row's version when Result is ResultWritten.
	Version uint64
	// Current is the other record when Result is ResultTaken. Its State is
	// empty when the row holds nothing that can be read.
	Current Record
}

// Row is a row as it stands in the table.
type Row struct {
	Key string
	// Version is 0 when the row does not exist.
	Version uint64
	// Record is the row's content; its State is empty when the row does not
	// exist or can't be read.
	Record Record
}

// rowMatch is what a standing row means for a change that did not expect it.
type rowMatch uint8

const (
	// matchOwn: the change itself stands there.
	matchOwn rowMatch = iota
	// matchOther: something else stands there for good.
	matchOther
	// matchRetry: the change can be made on the standing version.
	matchRetry
)

// compareRow judges a standing row whose version is not the expected one.
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
