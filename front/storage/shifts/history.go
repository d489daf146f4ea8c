package shifts

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// NamedRecord is the record of a movement and its name.
type NamedRecord struct {
	// Name is the name in the key of the record's row.
	Name string
	// Record is the state of the shift or drain.
	Record shift.Record
}

// Records returns all records of an environment, ordered by name. It returns a
// *storage.Error if the scan fails, or a decoding error if a row is malformed.
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

// Events returns the steps of all movements of an environment, oldest first. It
// skips rows that are malformed or belong to other kinds of events. It returns
// a *storage.Error if the scan fails.
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
