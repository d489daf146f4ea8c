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

// Source provides the state of a fleet.
type Source struct {
	// Store is the shared store.
	Store registry.Store
	// Codec decodes its rows.
	Codec gateway.Codec
}

// Snapshot is the state of a fleet. The tables are read one after another, each
// as of one point in time.
type Snapshot struct {
	// Catalog is the catalog in force, or nil.
	Catalog *catalog.Catalog
	// DrainedDomains are the failure domains to be drained.
	DrainedDomains []string
	// Endpoints are the registered endpoints.
	Endpoints []catalog.Endpoint
	// Rollouts are the ordered rollouts, sorted by service.
	Rollouts []Rollout
	// Instances are the registered instances.
	Instances []gateway.Instance
	// DecodeErrors are the errors of rows that could not be decoded.
	DecodeErrors []error
}

// Rollout is a rollout order with its recorded result.
type Rollout struct {
	// Order is the operator's order.
	Order catalog.RolloutOrder
	// Recorded reports whether a result of the order is recorded.
	Recorded bool
	// Result is the recorded result.
	Result catalog.RolloutResult
}

// Read reads a snapshot. Errors: those of the store, and a catalog that cannot
// be decoded.
func Read(ctx context.Context, s Source) (*Snapshot, error) {
	operator, endpoints, records := s.Codec.Tables()
	tables := make(map[string]map[string]registry.Row)
	for _, table := range []string{operator, endpoints, records, gateway.TableInstances} {
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
		snapshot.DrainedDomains = append(snapshot.DrainedDomains, domain)
	}
	slices.Sort(snapshot.DrainedDomains)
	snapshot.readEndpoints(s.Codec, tables[endpoints])
	snapshot.readRollouts(s.Codec, tables[operator], tables[records])
	snapshot.readInstances(tables[gateway.TableInstances])
	return snapshot, nil
}

// readEndpoints decodes the rows of endpoints.
func (s *Snapshot) readEndpoints(codec gateway.Codec, rows map[string]registry.Row) {
	now := time.Now()
	for _, row := range rows {
		e, err := codec.Endpoint(row, now)
		if err != nil {
			s.DecodeErrors = append(s.DecodeErrors, err)
			continue
		}
		s.Endpoints = append(s.Endpoints, e)
	}
	slices.SortFunc(s.Endpoints, func(a, b catalog.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version),
			cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.ID, b.ID))
	})
}

// readRollouts decodes rollout orders and their records.
func (s *Snapshot) readRollouts(codec gateway.Codec, operatorRows, recordRows map[string]registry.Row) {
	orders, orderErrs := codec.RolloutOrders(operatorRows)
	records, recordErrs := codec.RolloutRecords(recordRows)
	s.DecodeErrors = append(append(s.DecodeErrors, orderErrs...), recordErrs...)
	for service, order := range orders {
		record := records[service]
		s.Rollouts = append(s.Rollouts, Rollout{Order: order, Recorded: record.AppliesTo(order), Result: record.Result})
	}
	slices.SortFunc(s.Rollouts, func(a, b Rollout) int { return cmp.Compare(a.Order.Service, b.Order.Service) })
}

// readInstances decodes the rows of instances.
func (s *Snapshot) readInstances(rows map[string]registry.Row) {
	for _, row := range rows {
		i, err := gateway.DecodeInstance(row)
		if err != nil {
			s.DecodeErrors = append(s.DecodeErrors, err)
			continue
		}
		s.Instances = append(s.Instances, i)
	}
	slices.SortFunc(s.Instances, func(a, b gateway.Instance) int { return cmp.Compare(a.Name, b.Name) })
}
