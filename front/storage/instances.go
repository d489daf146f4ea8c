package storage

import (
	"context"
	"net/http"
)

// ListInstances implements Instances.
func (c *Client) ListInstances(ctx context.Context) ([]ListedInstance, error) {
	q := call{
		op:     "list instances",
		method: http.MethodGet,
		path:   PathInstances,
		limit:  c.settings.MaxAnswer,
	}
	var answer InstancesResponse
	if err := c.ask(ctx, q, &answer); err != nil {
		return nil, err
	}
	return answer.Instances, nil
}
