package operator

import (
	"context"
	"fmt"
	"slices"

	"github.com/cardamomfront/cardamomfront/front/platform"
	"github.com/cardamomfront/cardamomfront/steer/membership"
)

// Listed is one instance that the tool knows of.
type Listed struct {
	// Name is the instance's name; empty for one that is known by its address
	// only.
	Name string `json:"name,omitempty"`
	// Addr is its operator listener; empty when it is not known.
	Addr string `json:"addr,omitempty"`
}

// InstancesPrefix returns the start of the keys of an environment's rows of
// instances.
func InstancesPrefix(environment string) string { return environment + "/instances/" }

// Roster returns the instances that have a row in the table, and those at the
// further addresses. Errors: *platform.Error, or that of a row that can't be
// read.
func Roster(ctx context.Context, table platform.Table, environment string, addrs []string) ([]Listed, error) {
	rows, err := table.Scan(ctx, InstancesPrefix(environment))
	if err != nil {
		return nil, err
	}
	var listed []Listed
	for _, row := range rows {
		r, err := membership.DecodeRecord(row.Value)
		if err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
		listed = append(listed, Listed{Name: r.Name, Addr: r.OperatorAddress})
	}
	for _, addr := range addrs {
		if !slices.ContainsFunc(listed, func(l Listed) bool { return l.Addr == addr }) {
			listed = append(listed, Listed{Addr: addr})
		}
	}
	return listed, nil
}
