package attempts

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics are the recorder's counters.
type metrics struct {
	claims       metric.Int64Counter
	transactions metric.Int64Counter
	rows         metric.Int64Counter
	failures     metric.Int64Counter
	deleted      metric.Int64Counter
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	m := &metrics{}
	for _, counter := range []struct {
		target      *metric.Int64Counter
		name        string
		description string
	}{
		{&m.claims, "cardamomfront.attempts.claims", "Claims of an idempotency key, by result."},
		{&m.transactions, "cardamomfront.attempts.transactions", "Group commits sent to the table."},
		{&m.rows, "cardamomfront.attempts.rows", "Records in the group commits sent."},
		{&m.failures, "cardamomfront.attempts.unanswered", "Group commits without an answer or refused."},
		{&m.deleted, "cardamomfront.attempts.deleted", "Expired records deleted."},
	} {
		created, err := meter.Int64Counter(counter.name, metric.WithDescription(counter.description))
		if err != nil {
			return nil, err
		}
		*counter.target = created
	}
	return m, nil
}

// countClaim counts a claim by its result: "granted", "taken", or the reason
// why it could not be made.
func (m *metrics) countClaim(err error) {
	result := "granted"
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &unavailable):
		result = string(unavailable.Reason)
	case err != nil:
		result = "taken"
	}
	m.claims.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

func (m *metrics) countTransaction(rows int) {
	m.transactions.Add(context.Background(), 1)
	m.rows.Add(context.Background(), int64(rows))
}

func (m *metrics) countFailure() { m.failures.Add(context.Background(), 1) }

func (m *metrics) countDeleted(rows int) { m.deleted.Add(context.Background(), int64(rows)) }
