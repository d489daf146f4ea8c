package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/registry"
)

const (
	// methodCatalog returns the row of the catalog in force at another instance.
	methodCatalog = "gateway.catalog"
	// catalogCheckInterval is the time between two looks at whether others follow a
	// newer catalog.
	catalogCheckInterval = 250 * time.Millisecond
	// catalogPatience is how long others must follow a newer catalog before it is
	// read from them. A change of the store reaches all instances within that time.
	catalogPatience = 750 * time.Millisecond
	// catalogTimeout bounds one read of a catalog from another instance.
	catalogTimeout = time.Second
)

// catalogFollower keeps an instance from following an older catalog than the
// others for long. The store has an older one after a restore, until operators have
// written theirs again, and an instance that starts meanwhile knows no other.
type catalogFollower struct {
	mesh *mesh
	view *storeView
	log  logrus.FieldLogger

	behindSince time.Time // zero while no other instance is known to follow a newer catalog
	generation  uint64    // the newer catalog that was noticed then
}

func newCatalogFollower(m *mesh, v *storeView, log *logrus.Logger) *catalogFollower {
	return &catalogFollower{mesh: m, view: v, log: log.WithField("prefix", "beliefs")}
}

// Run checks the catalogs of the others until ctx ends.
func (f *catalogFollower) Run(ctx context.Context) error {
	runEvery(ctx, catalogCheckInterval, func(now time.Time) { f.check(ctx, now) })
	return nil
}

// check reads the newest catalog from another instance if this one has been behind
// for some time.
func (f *catalogFollower) check(ctx context.Context, now time.Time) {
	name, address, newest := f.mesh.newestCatalog(now)
	own := f.view.generation()
	switch {
	case newest <= own:
		f.behindSince = time.Time{}
		return
	case f.behindSince.IsZero() || own >= f.generation:
		f.behindSince, f.generation = now, newest
		return
	case now.Sub(f.behindSince) < catalogPatience:
		return
	}
	log := f.log.WithFields(logrus.Fields{"instance": name, "generation": newest, "own_generation": own})
	if err := f.read(ctx, address); err != nil {
		log.WithError(err).Warn("Failed to read a newer catalog from another instance.")
		return
	}
	log.Warn("Newer catalog read from another instance, the store does not have it or is not reached.")
}

// read puts the catalog of another instance in force if it is newer.
func (f *catalogFollower) read(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, catalogTimeout)
	defer cancel()
	var response tableResponse
	if err := f.mesh.caller.Call(ctx, address, methodCatalog, struct{}{}, &response); err != nil {
		return err
	}
	f.view.applyCatalog(time.Now(), response.batch().ByKey())
	return nil
}

// newestCatalog returns the instance that follows the newest catalog, of those from
// which reports arrive, and its generation; 0 if none is known.
func (m *mesh) newestCatalog(now time.Time) (name, address string, generation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n, other := range m.members {
		if other.Catalog > generation && now.Sub(other.lastReport) <= m.aliveFor() {
			name, address, generation = n, other.Peers, other.Catalog
		}
	}
	return name, address, generation
}

// handleCatalog handles a call for the catalog in force.
func (v *storeView) handleCatalog(context.Context, json.RawMessage) (any, error) {
	row := v.catalogRow.Load()
	if row == nil {
		return nil, fmt.Errorf("no catalog is in force")
	}
	return newTableResponse(registry.Batch{Rows: []registry.Row{*row}, Era: row.Era, Revision: row.Revision}), nil
}

// generation returns the generation of the catalog in force, 0 without one.
func (v *storeView) generation() uint64 {
	if c := v.catalog.Load(); c != nil {
		return c.Generation
	}
	return 0
}
