package attempt

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "20000")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// write is a conditional write in transit to the model table.
type write struct {
	key      string
	expected uint64
	record   Record
}

// modelTable is a table at which writes may arrive late.
type modelTable struct {
	rows    map[string]Row
	delayed [][]write
}

// apply executes a transaction and returns the first conflicting row, if any.
func (m *modelTable) apply(writes []write) (Row, bool) {
	for _, w := range writes {
		if row := m.row(w.key); row.Version != w.expected {
			return row, false
		}
	}
	for _, w := range writes {
		m.rows[w.key] = Row{Key: w.key, Version: w.expected + 1, Record: w.record}
	}
	return Row{}, true
}

func (m *modelTable) row(key string) Row {
	row := m.rows[key]
	row.Key = key
	return row
}

// fleet simulates instances that claim a few keys in the model table.
type fleet struct {
	table        modelTable
	transactions []*Transaction
	// ungrouped are the changes that are in no transaction.
	ungrouped []*Change
	// executions counts, by key, the requests that may have run.
	executions map[string]int
	// notWritten holds the IDs of claims that were reported as not written or
	// released.
	notWritten map[string]bool
	claimCount int
}

func (f *fleet) claim(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
	f.claimCount++
	id := fmt.Sprintf("%s-%d", key, f.claimCount)
	f.ungrouped = append(f.ungrouped, &Change{Key: key, Record: Record{ID: id, State: StateRunning}})
}

// group makes a transaction of some ungrouped changes of different rows.
func (f *fleet) group(t *rapid.T) {
	most := rapid.IntRange(1, 4).Draw(t, "rows")
	rows := make(map[string]bool)
	var changes, rest []*Change
	for _, c := range f.ungrouped {
		if len(changes) < most && !rows[c.Key] {
			rows[c.Key] = true
			changes = append(changes, c)
			continue
		}
		rest = append(rest, c)
	}
	f.ungrouped = rest
	if len(changes) > 0 {
		f.transactions = append(f.transactions, NewTransaction(changes))
	}
}

// send sends one transaction with a drawn outcome.
func (f *fleet) send(t *rapid.T) {
	if len(f.transactions) == 0 {
		return
	}
	at := rapid.IntRange(0, len(f.transactions)-1).Draw(t, "transaction")
	tx := f.transactions[at]
	var writes []write
	for _, c := range tx.Changes() {
		writes = append(writes, write{c.Key, c.Expected, c.Record})
	}
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "swallowed", "delayed", "refused"}).Draw(t, "fate") {
	case "answered":
		if row, ok := f.table.apply(writes); ok {
			f.handleResults(t, tx.OnWritten())
		} else {
			f.handleResults(t, tx.OnConflict(row))
		}
	case "lost":
		f.table.apply(writes)
		tx.OnUnknown()
	case "swallowed":
		tx.OnUnknown()
	case "delayed":
		f.table.delayed = append(f.table.delayed, writes)
		tx.OnUnknown()
	case "refused":
		tx.OnRefused()
	}
	f.readOrAbandon(t, at)
}

// readOrAbandon reads the rows if needed, and removes a transaction that is
// finished or given up.
func (f *fleet) readOrAbandon(t *rapid.T, at int) {
	tx := f.transactions[at]
	if tx.NeedsRead() {
		var rows []Row
		for _, c := range tx.Changes() {
			rows = append(rows, f.table.row(c.Key))
		}
		f.handleResults(t, tx.OnRead(rows))
	}
	if tx.NeedsSend() && rapid.IntRange(0, 9).Draw(t, "patience") > 0 {
		return
	}
	f.handleResults(t, tx.GiveUp())
	f.transactions = append(f.transactions[:at], f.transactions[at+1:]...)
}

// deliverDelayed lets one delayed transaction reach the table.
func (f *fleet) deliverDelayed(t *rapid.T) {
	if len(f.table.delayed) == 0 {
		return
	}
	at := rapid.IntRange(0, len(f.table.delayed)-1).Draw(t, "delayed")
	writes := f.table.delayed[at]
	f.table.delayed = append(f.table.delayed[:at], f.table.delayed[at+1:]...)
	f.table.apply(writes)
}

// handleResults acts on results as an instance does: it runs written claims
// and writes their outcomes.
func (f *fleet) handleResults(t *rapid.T, results []ChangeResult) {
	for _, s := range results {
		switch {
		case s.Change.Kind == KindClaim && s.Result == ResultWritten:
			f.execute(t, s)
		case s.Change.Kind == KindClaim && s.Result == ResultUnknown:
			release := s.Change.Record
			release.State = StateReleased
			f.ungrouped = append(f.ungrouped, &Change{Kind: KindRelease, Key: s.Change.Key, Expected: s.Change.Expected, Record: release})
		case s.Change.Kind == KindClaim:
			f.notWritten[s.Change.Record.ID] = true
		case s.Result == ResultUnknown || s.Result == ResultNotWritten:
			f.ungrouped = append(f.ungrouped, s.Change)
		case s.Change.Kind == KindRelease:
			f.notWritten[s.Change.Record.ID] = true
		case s.Result == ResultConflict:
			t.Fatalf("the outcome of %s conflicts with %+v", s.Change.Record.ID, s.Current)
		}
	}
}

// execute sends the request of a written claim. The request runs, or is proved
// not to have run, or the holder dies and leaves the claim as it is.
func (f *fleet) execute(t *rapid.T, s ChangeResult) {
	current := f.table.row(s.Change.Key)
	if current.Record.ID != s.Change.Record.ID || current.Version != s.Version {
		t.Fatalf("claim %s was reported as written at version %d, but the table has %+v", s.Change.Record.ID, s.Version, current)
	}
	next := &Change{Kind: KindFinish, Key: s.Change.Key, Expected: s.Version, Record: s.Change.Record}
	switch rapid.SampledFrom([]string{"ran", "not run", "died"}).Draw(t, "run") {
	case "ran":
		f.executions[s.Change.Key]++
		next.Record.State = StateDone
		next.Record.Outcome = &Outcome{Status: 200}
	case "not run":
		next.Kind = KindRelease
		next.Record.State = StateReleased
	case "died":
		f.executions[s.Change.Key]++
		return
	}
	f.ungrouped = append(f.ungrouped, next)
}

func (f *fleet) checkInvariants(t *rapid.T) {
	for key, ran := range f.executions {
		if ran > 1 {
			t.Fatalf("key %s may have run %d times", key, ran)
		}
	}
	for _, row := range f.table.rows {
		if row.Record.State != StateReleased && f.notWritten[row.Record.ID] {
			t.Fatalf("claim %s is in the table, but was reported as not written or released", row.Record.ID)
		}
	}
}

// TestRunsAtMostOnce lets instances claim the same keys while answers are
// lost, writes arrive late, sends are refused and holders die. Each key must
// run at most once.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{table: modelTable{rows: make(map[string]Row)}, executions: make(map[string]int), notWritten: make(map[string]bool)}
		t.Repeat(map[string]func(*rapid.T){
			"claim":  f.claim,
			"group":  f.group,
			"send":   f.send,
			"resend": f.send,
			"arrive": f.deliverDelayed,
			"":       f.checkInvariants,
		})
	})
}

func claimOf(key, id string) *Change {
	return &Change{Key: key, Record: Record{ID: id, State: StateRunning}}
}

// TestConflictResolvesOnlyItsRow makes all rows of a full group but one
// conflict, and bounds the number of sends until all changes are resolved.
func TestConflictResolvesOnlyItsRow(t *testing.T) {
	table := modelTable{rows: make(map[string]Row)}
	var changes []*Change
	for i := range DefaultMaxRows {
		key := fmt.Sprintf("key-%02d", i)
		changes = append(changes, claimOf(key, "mine-"+key))
		if i > 0 {
			table.rows[key] = Row{Key: key, Version: 1, Record: Record{ID: "other", State: StateRunning}}
		}
	}
	tx := NewTransaction(changes)
	results := make(map[Result]int)
	sends := 0
	for tx.NeedsSend() {
		sends++
		var writes []write
		for _, c := range tx.Changes() {
			writes = append(writes, write{c.Key, c.Expected, c.Record})
		}
		var resolved []ChangeResult
		if row, ok := table.apply(writes); ok {
			resolved = tx.OnWritten()
		} else {
			resolved = tx.OnConflict(row)
		}
		if tx.NeedsRead() {
			var rows []Row
			for _, c := range tx.Changes() {
				rows = append(rows, table.row(c.Key))
			}
			resolved = append(resolved, tx.OnRead(rows)...)
		}
		for _, s := range resolved {
			results[s.Result]++
		}
	}
	if results[ResultWritten] != 1 || results[ResultConflict] != DefaultMaxRows-1 {
		t.Fatalf("results = %v, want 1 written and the others in conflict", results)
	}
	if sends > conflictsBeforeRead+1 {
		t.Fatalf("%d sends, want at most %d", sends, conflictsBeforeRead+1)
	}
}

func TestReleasedKeyIsClaimedAgain(t *testing.T) {
	tx := NewTransaction([]*Change{claimOf("k", "second")})
	results := tx.OnConflict(Row{Key: "k", Version: 2, Record: Record{ID: "first", State: StateReleased}})
	if len(results) != 0 || !tx.NeedsSend() || tx.Changes()[0].Expected != 2 {
		t.Fatalf("results %+v, changes %+v, want the claim to be retried on version 2", results, tx.Changes())
	}
}
