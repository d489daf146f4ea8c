package rollouts

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/rollout"
)

const (
	testService  = "ledger"
	orderKey     = "order"
	tableOrders  = "orders"
	tableRecords = "records"
)

// recordCodec writes records as "VERSION RESULT".
type recordCodec struct{}

func (recordCodec) Tables() (operator, endpoints, records string) {
	return tableOrders, "endpoints", tableRecords
}

func (recordCodec) RolloutRecords(rows map[string]registry.Row) (map[string]catalog.RolloutRecord, []error) {
	records := map[string]catalog.RolloutRecord{}
	for key, row := range rows {
		to, name, _ := strings.Cut(string(row.Value), " ")
		for _, r := range []catalog.RolloutResult{catalog.RolloutRunning, catalog.RolloutCompleted, catalog.RolloutRolledBack} {
			if r.String() == name {
				records[key] = catalog.RolloutRecord{To: to, Result: r, Era: row.Era, Revision: row.Revision}
			}
		}
	}
	return records, nil
}

func (recordCodec) EncodeRolloutRecord(service string, record catalog.RolloutRecord) (string, []byte, error) {
	return service, []byte(record.To + " " + record.Result.String()), nil
}

// fault is what happens to a write.
type fault int

const (
	faultNone fault = iota
	faultResponseLost
	faultNotApplied
	faultLate        // applied later, if its conditions still hold
	faultDown        // reads fail as well
	faultRecordsOnly // only the records can be read
)

var errTimeout = errors.New("the store did not respond")

// rolloutSim simulates instances that carry out an operator's orders, and the
// store that they share, in virtual time.
type rolloutSim struct {
	t             rapid.TB
	now           time.Time
	revision      uint64
	era           uint64
	tables        map[string]map[string]registry.Row
	startRecorded time.Time // of the recorded rollout
	ordered       time.Time // when the order in force was given
	foundWorse    bool      // an instance found its version worse
	final         string    // the final record of the order in force, which a restore may have lost
	// orders counts the orders by version. After a restore, an instance that has
	// not read the latest of several orders for one version can't tell it from
	// the earlier one, written again.
	orders     map[string]int
	instances  []*Rollouts
	isLeader   []bool
	acting     int // the instance that is making calls
	fault      fault
	lateWrites []func()
}

func newRolloutSim(t *rapid.T, instances int) *rolloutSim {
	w := &rolloutSim{t: t, now: time.Unix(1_000_000, 0), tables: map[string]map[string]registry.Row{}, orders: map[string]int{}}
	w.isLeader = make([]bool, instances)
	for i := range instances {
		w.instances = append(w.instances, nil)
		w.start(i)
	}
	w.isLeader[0] = true
	return w
}

// newSingleInstanceSim returns a simulation of one instance, leader or not,
// outside a rapid test.
func newSingleInstanceSim(t *testing.T, isLeader bool) *rolloutSim {
	w := &rolloutSim{t: t, now: time.Unix(1_000_000, 0), tables: map[string]map[string]registry.Row{}, orders: map[string]int{}}
	w.instances, w.isLeader = make([]*Rollouts, 1), []bool{isLeader}
	w.start(0)
	return w
}

// start starts an instance without any state.
func (w *rolloutSim) start(i int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := New(w, recordCodec{}, log)
	r.now = func() time.Time { return w.now }
	r.fleet.IsLeader = func() bool { return w.isLeader[i] }
	w.instances[i] = r
}

// set writes a row at the store's current revision.
func (w *rolloutSim) set(table, key string, value []byte) {
	if w.tables[table] == nil {
		w.tables[table] = map[string]registry.Row{}
	}
	w.tables[table][key] = registry.Row{Key: key, Value: value, Revision: w.revision, Era: w.era}
}

// simCopy is an older copy of the store.
type simCopy struct {
	revision uint64
	tables   map[string]map[string]registry.Row
}

// copyStore returns a copy of the store as it is now.
func (w *rolloutSim) copyStore() simCopy {
	c := simCopy{revision: w.revision, tables: map[string]map[string]registry.Row{}}
	for name, rows := range w.tables {
		c.tables[name] = maps.Clone(rows)
	}
	return c
}

// restore brings the store back from a copy. The operator writes its order
// again, unless the copy has it.
func (w *rolloutSim) restore(c simCopy) {
	order, ordered := w.order()
	w.era++
	w.revision = c.revision
	w.tables = map[string]map[string]registry.Row{}
	for name, rows := range c.tables {
		w.tables[name] = map[string]registry.Row{}
		for key, row := range rows {
			row.Era = w.era
			w.tables[name][key] = row
		}
	}
	current, same := w.order()
	switch {
	case !ordered:
		delete(w.tables[tableOrders], orderKey)
	case !same || current.Revision != order.Revision:
		w.revision++
		w.set(tableOrders, orderKey, []byte(order.To))
	}
}

// giveOrder gives an order.
func (w *rolloutSim) giveOrder(to string) {
	w.revision++
	w.set(tableOrders, orderKey, []byte(to))
	w.ordered, w.foundWorse, w.final = w.now, false, ""
	w.orders[to]++
}

// order returns the order in force, as the table has it.
func (w *rolloutSim) order() (catalog.RolloutOrder, bool) {
	row, ok := w.tables[tableOrders][orderKey]
	return catalog.RolloutOrder{
		Service: testService, To: string(row.Value), Duration: duration, Key: orderKey, Era: row.Era, Revision: row.Revision,
	}, ok
}

// duration is how long a rollout may take.
const duration = 10 * time.Second

// record returns the record and whether it belongs to the order in force.
func (w *rolloutSim) record() (catalog.RolloutRecord, bool) {
	records, _ := recordCodec{}.RolloutRecords(w.tables[tableRecords])
	o, ok := records[testService]
	order, ordered := w.order()
	return o, ok && ordered && o.AppliesTo(order)
}

// Read implements Store.
func (w *rolloutSim) Read(_ context.Context, table string) (registry.Batch, error) {
	if w.fault == faultDown || w.fault == faultRecordsOnly && table != tableRecords {
		return registry.Batch{}, errTimeout
	}
	b := registry.Batch{Revision: w.revision, Era: w.era, Clock: w.now.Sub(time.Unix(0, 0))}
	for _, row := range w.tables[table] {
		b.Rows = append(b.Rows, row)
	}
	return b, nil
}

// Write implements Store.
func (w *rolloutSim) Write(_ context.Context, c registry.Change) (uint64, error) {
	ro := w.instances[w.acting].active[testService]
	decidedFor, decidedAt, startTime := ro.Order(), w.now, ro.StartTime()
	apply := func() (uint64, error) {
		if c.Era != w.era {
			return 0, &registry.EraError{Expected: c.Era, Actual: w.era}
		}
		for _, k := range c.Conditions {
			if w.tables[k.Table][k.Key].Revision != k.Revision {
				return 0, &registry.ConflictError{Conditions: c.Conditions}
			}
		}
		w.checkWrite(decidedFor, decidedAt, ro.Result(), c.Rows[0].Value)
		if len(c.Rows) > 1 {
			w.startRecorded = startTime
		}
		w.revision++
		for _, r := range c.Rows {
			w.set(r.Table, r.Key, r.Value)
		}
		return w.revision, nil
	}
	switch w.fault {
	case faultResponseLost:
		_, _ = apply()
		return 0, errTimeout
	case faultLate:
		w.lateWrites = append(w.lateWrites, func() { _, _ = apply() })
		return 0, errTimeout
	case faultNotApplied, faultDown:
		return 0, errTimeout
	case faultNone, faultRecordsOnly:
	}
	return apply()
}

// checkWrite checks a write of the record that is about to be applied by an
// instance that knows a result.
func (w *rolloutSim) checkWrite(decidedFor catalog.RolloutOrder, decidedAt time.Time, result catalog.RolloutResult, value []byte) {
	order, ordered := w.order()
	if ordered && (decidedFor.Revision != order.Revision || decidedFor.Era != order.Era) {
		w.t.Fatalf("%q was decided for the order of revision %d but is written for that of %d", value, decidedFor.Revision, order.Revision)
	}
	known, current := w.record()
	if current && known.Result != catalog.RolloutRunning {
		w.t.Fatalf("the final record %s is overwritten by %q", known.Result, value)
	}
	if result == catalog.RolloutCompleted && !strings.HasSuffix(string(value), result.String()) {
		w.t.Fatalf("%q is written by an instance that knows that the rollout was completed", value)
	}
	if string(value) == w.final {
		return // it was recorded before and lost
	}
	if !strings.HasSuffix(string(value), catalog.RolloutRunning.String()) {
		w.final = string(value)
	}
	if w.era > 0 && w.orders[decidedFor.To] > 1 {
		return // the decision may be about the earlier order
	}
	if strings.HasSuffix(string(value), catalog.RolloutRolledBack.String()) && !w.foundWorse && decidedAt.Sub(w.ordered) < duration {
		w.t.Fatalf("%q was decided %s after the order although no instance found the version worse", value, decidedAt.Sub(w.ordered))
	}
	if strings.HasSuffix(string(value), catalog.RolloutCompleted.String()) && decidedAt.Sub(w.startRecorded) > duration {
		w.t.Fatalf("%q was decided %s after the start", value, decidedAt.Sub(w.startRecorded))
	}
}

// applyOrders passes the order in force to an instance.
func (w *rolloutSim) applyOrders(i int) {
	orders := map[string]catalog.RolloutOrder{}
	if o, ok := w.order(); ok {
		orders[testService] = o
	}
	w.instances[i].SetOrders(w.now, orders, w.era)
}

// step lets an instance evaluate its rollouts and record results.
func (w *rolloutSim) step(i int) {
	w.acting = i
	w.instances[i].haltWorseVersions(w.now)
	w.instances[i].syncRecords(context.Background(), w.now)
}

// sendReports sends one instance's reports to another.
func (w *rolloutSim) sendReports(from, to int) {
	if from == to {
		return
	}
	w.instances[to].ReceiveReports(fmt.Sprint(from), w.instances[from].LocalReports(w.now), w.now, w.now)
}

// addGoodResponses adds good responses of the new version to an instance's
// evidence.
func (w *rolloutSim) addGoodResponses(i int) {
	ro := w.instances[i].Get(testService)
	if ro == nil {
		return
	}
	// Old enough to be judged when it is reported next.
	at := w.now.Add(-time.Second)
	for range 60 {
		a := ro.StartAttempt(at, ro.Order().To, 0)
		ro.EndAttempt(at, a)
		ro.SettleAttempt(at, a, rollout.OutcomeGood, 1)
	}
}

// reportSound lets an instance know from a peer that the new version is sound.
func (w *rolloutSim) reportSound(i int) {
	ro := w.instances[i].Get(testService)
	good := rollout.Judgments{Attempts: 60}
	ro.SetPeerEvidence("peer", rollout.Evidence{NewJudged: good, RampJudged: good}, w.now)
	ro.Evaluate(w.now)
}

// haltNewVersion lets an instance find the new version worse.
func (w *rolloutSim) haltNewVersion(i int) {
	ro := w.instances[i].Get(testService)
	if ro == nil {
		return
	}
	ro.Halt()
	order, _ := w.order()
	w.foundWorse = w.foundWorse || isSameRow(ro.Order(), order) || ro.Order().IsRewrittenAs(order)
}

// round simulates a second in which all instances but one serve and exchange
// reports.
func (w *rolloutSim) round(without int) {
	w.now = w.now.Add(time.Second)
	for i := range w.instances {
		if i == without {
			continue
		}
		w.applyOrders(i)
		w.addGoodResponses(i)
		w.step(i)
		for j := range w.instances {
			if j != without {
				w.sendReports(i, j)
			}
		}
	}
}

// noInstance is the index of no instance.
const noInstance = -1

// runToCompletion ends all faults and runs rounds until the time of a rollout
// is over.
func (w *rolloutSim) runToCompletion() {
	w.fault = faultNone
	for i := range w.isLeader {
		w.isLeader[i] = i == 0
	}
	for range 2 * int(duration/time.Second) {
		w.round(noInstance)
	}
}

// checkAgreement checks that the record is final and that all instances follow
// it.
func (w *rolloutSim) checkAgreement() {
	order, ok := w.order()
	if !ok {
		return
	}
	known, current := w.record()
	if !current || known.Result == catalog.RolloutRunning || known.To != order.To {
		w.t.Fatalf("order %d to %s: final record is %+v", order.Revision, order.To, known)
	}
	for i, r := range w.instances {
		if got := r.Get(testService).Result(); got != known.Result {
			w.t.Fatalf("instance %d has %s, the record has %s", i, got, known.Result)
		}
	}
}
