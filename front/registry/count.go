package registry

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// countingStore counts the calls to the Store that it wraps.
type countingStore struct {
	Store
	calls metric.Int64Counter
}

// CountCalls wraps s so that its calls are counted by kind, table and outcome.
// Errors: those of the meter.
func CountCalls(s Store, m metric.Meter) (Store, error) {
	calls, err := m.Int64Counter("cardamomfront.store.calls",
		metric.WithDescription("Calls to the shared store, by kind, table and outcome."))
	if err != nil {
		return nil, err
	}
	return &countingStore{Store: s, calls: calls}, nil
}

func (c *countingStore) count(kind, table string, err error) {
	c.calls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", kind), attribute.String("table", table), attribute.String("outcome", outcomeOf(err))))
}

// outcomeOf returns the outcome attribute of a call that returned err.
func outcomeOf(err error) string {
	var gap *GapError
	var conflict *ConflictError
	var refused *UnavailableError
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &gap):
		return "gap"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &refused):
		return "refused"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	case errors.Is(err, context.Canceled):
		return "given-up"
	default:
		return "failed"
	}
}

// Read implements Store.
func (c *countingStore) Read(ctx context.Context, table string) (Batch, error) {
	b, err := c.Store.Read(ctx, table)
	c.count("read", table, err)
	return b, err
}

// Changes implements Store.
func (c *countingStore) Changes(ctx context.Context, table string, after Version, wait time.Duration) (Batch, error) {
	b, err := c.Store.Changes(ctx, table, after, wait)
	c.count("changes", table, err)
	return b, err
}

// Write implements Store. A change is counted under the table of its first row.
func (c *countingStore) Write(ctx context.Context, change Change) (uint64, error) {
	revision, err := c.Store.Write(ctx, change)
	table := ""
	if len(change.Rows) > 0 {
		table = change.Rows[0].Table
	}
	c.count("write", table, err)
	return revision, err
}

// Put implements Store.
func (c *countingStore) Put(ctx context.Context, table, key string, value []byte) error {
	err := c.Store.Put(ctx, table, key, value)
	c.count("put", table, err)
	return err
}

// Remove implements Store.
func (c *countingStore) Remove(ctx context.Context, table, key string) error {
	err := c.Store.Remove(ctx, table, key)
	c.count("remove", table, err)
	return err
}
