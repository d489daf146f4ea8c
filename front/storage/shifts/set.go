package shifts

import (
	"reflect"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// controller has the methods that shifts and drains have in common.
type controller interface {
	SetLiveInstances(names []string)
	ObserveRecord(now time.Time, row shift.Record, version uint64)
	Propose(now time.Time) (shift.Proposal, bool)
	RecordKnown() bool
}

// movement is one shift or drain. Exactly one of the fields shift and drain is
// set.
type movement struct {
	controller
	kind    Kind
	name    string
	subject string
	shift   *shift.Controller
	drain   *shift.Drain
}

// tick evaluates the outcomes and time limits. It reports whether to notify the
// peers immediately.
func (mv *movement) tick(now time.Time) bool {
	if mv.shift != nil {
		return mv.shift.Tick(now)
	}
	mv.drain.Tick(now)
	return false
}

// movementSet holds the movements of one document. The set is immutable, the
// controllers in it are not.
type movementSet struct {
	index           *document.Index
	movements       map[string]*movement
	shiftsByService map[string]*shift.Controller
	drainsByRegion  map[string]*shift.Drain
}

// applyDocument replaces the movements if the document has changed. A movement
// with the same configuration continues; one whose configuration changed gets a
// new controller, which starts from the stored record.
func (m *Manager) applyDocument() {
	index := m.source.Current().Index
	old := m.set.Load()
	if index == nil || index == old.index {
		return
	}
	next := &movementSet{
		index:           index,
		movements:       make(map[string]*movement),
		shiftsByService: make(map[string]*shift.Controller),
		drainsByRegion:  make(map[string]*shift.Drain),
	}
	doc := index.Document()
	for i := range doc.Shifts {
		m.addShift(next, old, &doc.Shifts[i])
	}
	for i := range doc.Drains {
		m.addDrain(next, old, &doc.Drains[i])
	}
	m.set.Store(next)
}

// addShift adds a shift of the document to next. A shift whose configuration is
// invalid is omitted.
func (m *Manager) addShift(next, old *movementSet, s *document.Shift) {
	cfg := shiftConfig(s, next.index.Service(s.Service).Serving, m.settings.Tuning)
	mv := old.movements[cfg.Name]
	if mv == nil || mv.shift == nil || !reflect.DeepEqual(mv.shift.Config(), cfg) {
		c, err := shift.New(cfg, m.settings.Instance, time.Now())
		if err != nil {
			m.log.WithError(err).Error("Shift has an invalid configuration and is ignored.")
			return
		}
		mv = &movement{controller: c, kind: KindShift, name: cfg.Name, subject: cfg.Service, shift: c}
	}
	next.movements[mv.name] = mv
	next.shiftsByService[mv.subject] = mv.shift
}

// addDrain adds a drain of the document to next.
func (m *Manager) addDrain(next, old *movementSet, d *document.Drain) {
	cfg := drainConfig(d, m.settings.Tuning)
	mv := old.movements[cfg.Name]
	if mv == nil || mv.drain == nil || mv.drain.Config() != cfg {
		c := shift.NewDrain(cfg, m.settings.Instance)
		mv = &movement{controller: c, kind: KindDrain, name: cfg.Name, subject: cfg.Region, drain: c}
	}
	next.movements[mv.name] = mv
	next.drainsByRegion[mv.subject] = mv.drain
}
