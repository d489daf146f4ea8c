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

// ListedInstance is one instance that the tool knows of.
type ListedInstance struct {
	// Name is the name of the instance's row; empty for an instance that is
	// known by its address only.
	Name string `json:"name,omitempty"`
	// Addr is its operator listener; empty when it is not known.
	Addr string `json:"addr,omitempty"`
	// RowGeneration is the generation that its row names.
	RowGeneration uint64 `json:"rowGeneration,omitempty"`

	process string
}

// ListInstances returns the instances that have a row in the table, and those at the
// further addresses. Errors: *storage.Error, or that of a row that can't be
// read.
func ListInstances(ctx context.Context, table storage.Table, environment string, addrs []string) ([]ListedInstance, error) {
	rows, err := table.Scan(ctx, members.InstancesPrefix(environment))
	if err != nil {
		return nil, err
	}
	var listed []ListedInstance
	for _, row := range rows {
		l, err := listedRow(row)
		if err != nil {
			return nil, err
		}
		listed = append(listed, l)
	}
	for _, addr := range addrs {
		if !slices.ContainsFunc(listed, func(l ListedInstance) bool { return l.Addr == addr }) {
			listed = append(listed, ListedInstance{Addr: addr})
		}
	}
	return listed, nil
}

// Identify asks the instances that are known by their address only for their
// names and joins each with its row, so that none is listed twice.
func (c *Client) Identify(ctx context.Context, listed []ListedInstance) []ListedInstance {
	var joined, nameless []ListedInstance
	for _, l := range listed {
		if l.Name == "" {
			nameless = append(nameless, l)
			continue
		}
		joined = append(joined, l)
	}
	for i, name := range c.names(ctx, nameless) {
		at := slices.IndexFunc(joined, func(l ListedInstance) bool { return l.Addr == "" && name != "" && l.process == name })
		if at < 0 {
			joined = append(joined, nameless[i])
			continue
		}
		joined[at].Addr = nameless[i].Addr
	}
	return joined
}

func listedRow(row storage.Row) (ListedInstance, error) {
	r, err := membership.DecodeRecord(row.Value)
	if err != nil {
		return ListedInstance{}, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return ListedInstance{Name: r.Name, Addr: r.OperatorAddress, RowGeneration: r.Generation, process: r.Process}, nil
}

// names asks the instances for their names; "" stands for one that does not
// answer.
func (c *Client) names(ctx context.Context, listed []ListedInstance) []string {
	names := make([]string, len(listed))
	var asked sync.WaitGroup
	for i, l := range listed {
		asked.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			if status, err := c.Status(ctx, l.Addr); err == nil {
				names[i] = status.Instance
			}
		})
	}
	asked.Wait()
	return names
}
