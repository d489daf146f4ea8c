package shifts

import (
	"reflect"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// controller is what shifts and drains have in common.
type controller interface {
	SetLiveInstances(names []string)
	ObserveRecord(now time.Time, row shift.Record, version uint64)
	Propose(now time.Time) (shift.Proposal, bool)
	RecordKnown() bool
}

// movement is one shift or drain. Either shift or drain is set.
type movement struct {
	controller
	kind    Kind
	name    string
	subject string
	shift   *shift.Controller
	drain   *shift.Drain
}

// tick acts on the time and reports whether the others should be told at once.
func (mv *movement) tick(now time.Time) bool {
	if mv.shift != nil {
		return mv.shift.Tick(now)
	}
	mv.drain.Tick(now)
	return false
}

// movementSet holds the movements of one document. It is immutable; the controllers in
// it are not.
type movementSet struct {
	index           *document.Index
	movements       map[string]*movement
	shiftsByService map[string]*shift.Controller
	drainsByRegion  map[string]*shift.Drain
}

// applyDocument makes the set of a new document. Movements whose description is
// unchanged go on; a changed one starts anew from its record.
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

// addShift adds a shift of the document to the set.
func (m *Manager) addShift(next, old *movementSet, s *document.Shift) {
	cfg := shiftConfig(s, next.index.Service(s.Service).Serving, m.settings.Tuning)
	mv := old.movements[cfg.Name]
	if mv == nil || mv.shift == nil || !reflect.DeepEqual(mv.shift.Config(), cfg) {
		c, err := shift.New(cfg, m.settings.Instance, time.Now())
		if err != nil {
			m.log.WithError(err).Error("Shift can't be carried out.")
			return
		}
		mv = &movement{controller: c, kind: KindShift, name: cfg.Name, subject: cfg.Service, shift: c}
	}
	next.movements[mv.name] = mv
	next.shiftsByService[mv.subject] = mv.shift
}

// addDrain adds a drain of the document to the set.
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
