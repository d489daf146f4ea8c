package operator

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/cardamomfront/cardamomfront/front/storage"
	members "github.com/cardamomfront/cardamomfront/front/storage/membership"
	"github.com/cardamomfront/cardamomfront/steer/membership"
)

// ListedInstance is an instance that the tool has found.
type ListedInstance struct {
	// Name is the name of the instance's row. It is empty if only the address
	// is known.
	Name string `json:"name,omitempty"`
	// Addr is the address of its operator listener. It is empty if unknown.
	Addr string `json:"addr,omitempty"`
	// RowGeneration is the generation recorded in its row.
	RowGeneration uint64 `json:"rowGeneration,omitempty"`

	process string
}

// ListInstances returns the instances that have a row in the table, followed by
// those at the additional addresses. Errors: *storage.Error, or a row that
// cannot be decoded.
func ListInstances(ctx context.Context, table storage.Table, environment string, addrs []string) ([]ListedInstance, error) {
	rows, err := table.Scan(ctx, members.InstancesPrefix(environment))
	if err != nil {
		return nil, err
	}
	var instances []ListedInstance
	for _, row := range rows {
		instance, err := decodeInstanceRow(row)
		if err != nil {
			return nil, err
		}
		instances = append(instances, instance)
	}
	for _, addr := range addrs {
		if !slices.ContainsFunc(instances, func(listed ListedInstance) bool { return listed.Addr == addr }) {
			instances = append(instances, ListedInstance{Addr: addr})
		}
	}
	return instances, nil
}

// Identify queries the names of instances of which only the address is known
// and merges each with its row, so that no instance is listed twice.
func (c *Client) Identify(ctx context.Context, instances []ListedInstance) []ListedInstance {
	var merged, unnamed []ListedInstance
	for _, instance := range instances {
		if instance.Name == "" {
			unnamed = append(unnamed, instance)
			continue
		}
		merged = append(merged, instance)
	}
	for i, name := range c.queryNames(ctx, unnamed) {
		index := slices.IndexFunc(merged, func(listed ListedInstance) bool { return listed.Addr == "" && name != "" && listed.process == name })
		if index < 0 {
			merged = append(merged, unnamed[i])
			continue
		}
		merged[index].Addr = unnamed[i].Addr
	}
	return merged
}

func decodeInstanceRow(row storage.Row) (ListedInstance, error) {
	r, err := membership.DecodeRecord(row.Value)
	if err != nil {
		return ListedInstance{}, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return ListedInstance{Name: r.Name, Addr: r.OperatorAddress, RowGeneration: r.Generation, process: r.Process}, nil
}

// queryNames requests the names of the instances in parallel. The name of an
// instance that does not respond is empty.
func (c *Client) queryNames(ctx context.Context, instances []ListedInstance) []string {
	names := make([]string, len(instances))
	var wg sync.WaitGroup
	for i, instance := range instances {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, instanceCallTimeout)
			defer cancel()
			if status, err := c.Status(ctx, instance.Addr); err == nil {
				names[i] = status.Instance
			}
		})
	}
	wg.Wait()
	return names
}
