package fleet

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/front/gateway"
	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// Source is where the state of a fleet is read.
type Source struct {
	// Store is the shared store.
	Store registry.Store
	// Codec reads its rows.
	Codec gateway.Codec
}

// Snapshot is the state of a fleet, each table as of one moment.
type Snapshot struct {
	// Catalog is the one in force, nil when there is none.
	Catalog *catalog.Catalog
	// Closed are the failure domains that are to be left empty.
	Closed []string
	// Endpoints are those that registered themselves.
	Endpoints []catalog.Endpoint
	// Moves are the orders to move services, by the service's name.
	Moves []Move
	// Instances are those that registered themselves.
	Instances []gateway.Instance
	// Faults are the rows that can't be read.
	Faults []error
}

// Move is an order with what became of it.
type Move struct {
	// Order is the operator's order.
	Order catalog.RolloutOrder
	// Recorded says whether anything is on record about it.
	Recorded bool
	// Result is what is on record.
	Result catalog.RolloutResult
}

// Read reads the state of a fleet. Errors: the store's, and a catalog that
// can't be read.
func Read(ctx context.Context, s Source) (*Snapshot, error) {
	operator, endpoints, outcomes := s.Codec.Tables()
	tables := make(map[string]map[string]registry.Row)
	for _, table := range []string{operator, endpoints, outcomes, gateway.TableInstances} {
		batch, err := s.Store.Read(ctx, table)
		if err != nil {
			return nil, fmt.Errorf("table %s: %w", table, err)
		}
		tables[table] = batch.ByKey()
	}
	c, err := s.Codec.Catalog(tables[operator])
	if err != nil {
		return nil, err
	}
	snapshot := &Snapshot{Catalog: c}
	for domain := range s.Codec.DrainedDomains(tables[operator]) {
		snapshot.Closed = append(snapshot.Closed, domain)
	}
	slices.Sort(snapshot.Closed)
	snapshot.readEndpoints(s.Codec, tables[endpoints])
	snapshot.readMoves(s.Codec, tables[operator], tables[outcomes])
	snapshot.readInstances(tables[gateway.TableInstances])
	return snapshot, nil
}

// readEndpoints reads the endpoints' entries.
func (s *Snapshot) readEndpoints(d gateway.Codec, rows map[string]registry.Row) {
	now := time.Now()
	for _, row := range rows {
		e, err := d.Endpoint(row, now)
		if err != nil {
			s.Faults = append(s.Faults, err)
			continue
		}
		s.Endpoints = append(s.Endpoints, e)
	}
	slices.SortFunc(s.Endpoints, func(a, b catalog.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version),
			cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.ID, b.ID))
	})
}

// readMoves reads orders and what is on record of them.
func (s *Snapshot) readMoves(d gateway.Codec, operator, records map[string]registry.Row) {
	orders, faults := d.RolloutOrders(operator)
	outcomes, more := d.RolloutRecords(records)
	s.Faults = append(append(s.Faults, faults...), more...)
	for service, order := range orders {
		o := outcomes[service]
		s.Moves = append(s.Moves, Move{Order: order, Recorded: o.AppliesTo(order), Result: o.Result})
	}
	slices.SortFunc(s.Moves, func(a, b Move) int { return cmp.Compare(a.Order.Service, b.Order.Service) })
}

// readInstances reads the instances' rows.
func (s *Snapshot) readInstances(rows map[string]registry.Row) {
	for _, row := range rows {
		i, err := gateway.DecodeInstance(row)
		if err != nil {
			s.Faults = append(s.Faults, err)
			continue
		}
		s.Instances = append(s.Instances, i)
	}
	slices.SortFunc(s.Instances, func(a, b gateway.Instance) int { return cmp.Compare(a.Name, b.Name) })
}
