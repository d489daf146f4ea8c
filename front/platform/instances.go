package platform

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
	r, err := c.do(ctx, q)
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, q.statusError(r)
	}
	var answer InstancesAnswer
	if err := q.decode(r, &answer); err != nil {
		return nil, err
	}
	return answer.Instances, nil
}
