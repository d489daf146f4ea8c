package shifts

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// NamedRecord is a record with its name.
type NamedRecord struct {
	// Name names the shift or drain.
	Name string
	// Record is its state.
	Record shift.Record
}

// Records returns all records of an environment by name. Errors: *storage.Error,
// or that of a row that can't be read.
func Records(ctx context.Context, table storage.Table, environment string) ([]NamedRecord, error) {
	rows, err := table.Scan(ctx, recordPrefix(environment))
	if err != nil {
		return nil, err
	}
	var records []NamedRecord
	for _, row := range rows {
		record, err := decodeRecord(row)
		if err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
		records = append(records, NamedRecord{Name: recordName(environment, row.Key), Record: record})
	}
	return records, nil
}

// Events returns the steps of all movements of an environment, oldest first.
// Rows of other kinds of event are passed over. Errors: *storage.Error.
func Events(ctx context.Context, table storage.Table, environment string) ([]Event, error) {
	rows, err := table.Scan(ctx, eventPrefix(environment))
	if err != nil {
		return nil, err
	}
	var events []Event
	for _, row := range rows {
		var e Event
		if json.Unmarshal(row.Value, &e) != nil {
			continue
		}
		if e.Kind == KindShift || e.Kind == KindDrain {
			events = append(events, e)
		}
	}
	return events, nil
}
