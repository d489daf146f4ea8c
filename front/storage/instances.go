package storage

import (
	"context"
	"net/http"
)

// ListInstances implements Instances.
func (c *Client) ListInstances(ctx context.Context) ([]ListedInstance, error) {
	q := call{
		op:      "list instances",
		method:  http.MethodGet,
		path:    PathInstances,
		maxBody: c.settings.MaxAnswer,
	}
	var list InstancesResponse
	if err := c.doJSON(ctx, q, &list); err != nil {
		return nil, err
	}
	return list.Instances, nil
}
