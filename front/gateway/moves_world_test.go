package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

const (
	movedService = "ledger"
	orderKey     = "order"
	tableOrders  = "orders"
	tableRecords = "records"
)

// recordCodec writes records as "VERSION RESULT".
type recordCodec struct{ Codec }

func (recordCodec) Tables() (operator, endpoints, outcomes string) {
	return tableOrders, "endpoints", tableRecords
}

func (recordCodec) RolloutRecords(rows map[string]registry.Row) (map[string]catalog.RolloutRecord, []error) {
	outcomes := map[string]catalog.RolloutRecord{}
	for key, row := range rows {
		to, name, _ := strings.Cut(string(row.Value), " ")
		for _, r := range []catalog.RolloutResult{catalog.RolloutRunning, catalog.RolloutCompleted, catalog.RolloutRolledBack} {
			if r.String() == name {
				outcomes[key] = catalog.RolloutRecord{To: to, Result: r, Revision: row.Revision}
			}
		}
	}
	return outcomes, nil
}

func (recordCodec) EncodeRolloutRecord(service string, o catalog.RolloutRecord) (string, []byte, error) {
	return service, []byte(o.To + " " + o.Result.String()), nil
}

// fault is what becomes of a write.
type fault int

const (
	faultNone fault = iota
	faultAnswerLost
	faultNotDone
	faultLate // done later, if its conditions still hold
	faultDown // reads fail as well
	faultHalf // only the records can be read
)

var errSilent = errors.New("no answer")

// moveWorld is some instances that carry out an operator's orders, and the store
// between them, in virtual time.
type moveWorld struct {
	t        rapid.TB
	now      time.Time
	revision uint64
	tables   map[string]map[string]registry.Row
	begun    time.Time // of the move on record, as it was announced
	ordered  time.Time // when the order in force was given
	judged   bool      // whether an instance held its version for bad
	instance []*moves
	leading  []bool
	acting   int // the instance that is making calls
	fault    fault
	late     []func()
}

func newMoveWorld(t *rapid.T, instances int) *moveWorld {
	w := &moveWorld{t: t, now: time.Unix(1_000_000, 0), tables: map[string]map[string]registry.Row{}}
	w.leading = make([]bool, instances)
	for i := range instances {
		w.instance = append(w.instance, nil)
		w.start(i)
	}
	w.leading[0] = true
	return w
}

// loneWorld is one instance, which records outcomes or doesn't, and no rapid
// test.
func loneWorld(t *testing.T, leads bool) *moveWorld {
	w := &moveWorld{t: t, now: time.Unix(1_000_000, 0), tables: map[string]map[string]registry.Row{}}
	w.instance, w.leading = make([]*moves, 1), []bool{leads}
	w.start(0)
	return w
}

// start starts an instance that knows nothing.
func (w *moveWorld) start(i int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := newMoves(Parts{Store: w, Codec: recordCodec{}}, log)
	m.now = func() time.Time { return w.now }
	m.leads = func() bool { return w.leading[i] }
	w.instance[i] = m
}

// set writes a row at the store's present revision.
func (w *moveWorld) set(table, key string, value []byte) {
	if w.tables[table] == nil {
		w.tables[table] = map[string]registry.Row{}
	}
	w.tables[table][key] = registry.Row{Key: key, Value: value, Revision: w.revision}
}

// give gives an order.
func (w *moveWorld) give(to string) {
	w.revision++
	w.set(tableOrders, orderKey, []byte(to))
	w.ordered, w.judged = w.now, false
}

// order returns the order in force, as the table names it.
func (w *moveWorld) order() (catalog.RolloutOrder, bool) {
	row, ok := w.tables[tableOrders][orderKey]
	return catalog.RolloutOrder{
		Service: movedService, To: string(row.Value), Duration: duration, Key: orderKey, Revision: row.Revision,
	}, ok
}

// duration is how long a move may take.
const duration = 10 * time.Second

// record returns the record and whether it is about the order in force.
func (w *moveWorld) record() (catalog.RolloutRecord, bool) {
	outcomes, _ := recordCodec{}.RolloutRecords(w.tables[tableRecords])
	o, ok := outcomes[movedService]
	order, ordered := w.order()
	return o, ok && ordered && o.Revision > order.Revision
}

// Read implements registry.Store.
func (w *moveWorld) Read(_ context.Context, table string) (registry.Batch, error) {
	if w.fault == faultDown || w.fault == faultHalf && table != tableRecords {
		return registry.Batch{}, errSilent
	}
	b := registry.Batch{Revision: w.revision, Clock: w.now.Sub(time.Unix(0, 0))}
	for _, row := range w.tables[table] {
		b.Rows = append(b.Rows, row)
	}
	return b, nil
}

// SetAddress implements Store.
func (w *moveWorld) SetAddress(string) {}

// Changes implements registry.Store.
func (w *moveWorld) Changes(context.Context, string, uint64, time.Duration) (registry.Batch, error) {
	return registry.Batch{}, errSilent
}

// Put implements registry.Store.
func (w *moveWorld) Put(context.Context, string, string, []byte) error { return errSilent }

// Remove implements registry.Store.
func (w *moveWorld) Remove(context.Context, string, string) error { return errSilent }

// Write implements registry.Store.
func (w *moveWorld) Write(_ context.Context, c registry.Change) error {
	move := w.instance[w.acting].running[movedService]
	decidedFor, decidedAt, begun := move.Order(), w.now, move.StartTime()
	apply := func() error {
		for _, k := range c.Conditions {
			if w.tables[k.Table][k.Key].Revision != k.Revision {
				return &registry.ConflictError{Conditions: c.Conditions}
			}
		}
		w.check(decidedFor, decidedAt, c.Rows[0].Value)
		if len(c.Rows) > 1 {
			w.begun = begun
		}
		w.revision++
		for _, r := range c.Rows {
			w.set(r.Table, r.Key, r.Value)
		}
		return nil
	}
	switch w.fault {
	case faultAnswerLost:
		_ = apply()
		return errSilent
	case faultLate:
		w.late = append(w.late, func() { _ = apply() })
		return errSilent
	case faultNotDone, faultDown:
		return errSilent
	case faultNone, faultHalf:
	}
	return apply()
}

// check checks a write of the record that is about to be done.
func (w *moveWorld) check(decidedFor catalog.RolloutOrder, decidedAt time.Time, value []byte) {
	order, ordered := w.order()
	if ordered && decidedFor.Revision != order.Revision {
		w.t.Fatalf("%q was decided for the order of revision %d and counts for that of %d", value, decidedFor.Revision, order.Revision)
	}
	known, current := w.record()
	if current && known.Result != catalog.RolloutRunning {
		w.t.Fatalf("the record goes from %s to %q", known.Result, value)
	}
	if strings.HasSuffix(string(value), catalog.RolloutRolledBack.String()) && !w.judged && decidedAt.Sub(w.ordered) < duration {
		w.t.Fatalf("%q was decided %s after the order, and nobody held it for bad", value, decidedAt.Sub(w.ordered))
	}
	if strings.HasSuffix(string(value), catalog.RolloutCompleted.String()) && decidedAt.Sub(w.begun) > duration {
		w.t.Fatalf("%q was decided %s after the beginning", value, decidedAt.Sub(w.begun))
	}
}

// see lets an instance see the order in force.
func (w *moveWorld) see(i int) {
	orders := map[string]catalog.RolloutOrder{}
	if o, ok := w.order(); ok {
		orders[movedService] = o
	}
	w.instance[i].setOrders(w.now, orders)
}

// step lets an instance judge and record.
func (w *moveWorld) step(i int) {
	w.acting = i
	w.instance[i].judge(w.now)
	w.instance[i].step(context.Background(), w.now)
}

// tell lets an instance hear another one.
func (w *moveWorld) tell(from, to int) {
	if from == to {
		return
	}
	w.instance[to].takeStates(fmt.Sprint(from), w.instance[from].states(w.now), w.now)
}

// answered lets an instance see good answers of the new version.
func (w *moveWorld) answered(i int) {
	move := w.instance[i].move(movedService)
	if move == nil {
		return
	}
	for range 20 {
		move.AttemptStarted(move.Order().To)
		move.AttemptEnded(w.now, move.Order().To, true, false, 1)
	}
}

// bad lets an instance hold the new version for bad.
func (w *moveWorld) bad(i int) {
	move := w.instance[i].move(movedService)
	if move == nil {
		return
	}
	move.Halt()
	order, _ := w.order()
	w.judged = w.judged || move.Order().Revision == order.Revision
}

// round lets a second pass in which all instances but one serve and meet.
func (w *moveWorld) round(without int) {
	w.now = w.now.Add(time.Second)
	for i := range w.instance {
		if i == without {
			continue
		}
		w.see(i)
		w.answered(i)
		w.step(i)
		for j := range w.instance {
			if j != without {
				w.tell(i, j)
			}
		}
	}
}

// nobody is no instance.
const nobody = -1

// settle ends all faults and lets everybody meet until the time is over.
func (w *moveWorld) settle() {
	w.fault = faultNone
	for i := range w.leading {
		w.leading[i] = i == 0
	}
	for range 2 * int(duration/time.Second) {
		w.round(nobody)
	}
}

// agree checks that the record is final and that all instances follow it.
func (w *moveWorld) agree() {
	order, ok := w.order()
	if !ok {
		return
	}
	known, current := w.record()
	if !current || known.Result == catalog.RolloutRunning || known.To != order.To {
		w.t.Fatalf("order %d to %s ends with the record %+v", order.Revision, order.To, known)
	}
	for i, m := range w.instance {
		if got := m.move(movedService).Result(); got != known.Result {
			w.t.Fatalf("instance %d holds %s, the record says %s", i, got, known.Result)
		}
	}
}
