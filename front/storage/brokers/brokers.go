// Package brokers stores in the platform's table which instance is the broker
// of each slot group, that is, grants the group's slots, and which instances it
// may grant them to.
//
// Each group has one row. The row's holder is the group's broker and the only
// instance that writes the row until it has been evicted from the fleet. A
// successor reads from the row which instances may still hold grants.
package brokers

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// Row is the row of one slot group.
type Row struct {
	// Group identifies the slot group.
	Group slots.Group `json:"group"`
	// Holder is the name of the instance that grants the slots.
	Holder string `json:"holder"`
	// Epoch numbers the successive brokers of the group, from 1.
	Epoch uint64 `json:"epoch"`
	// LongestGrant bounds the duration of grants of this epoch.
	LongestGrant time.Duration `json:"longestGrant"`
	// PreviousLongestGrant bounds the duration of grants of all earlier epochs.
	PreviousLongestGrant time.Duration `json:"formerGrant,omitempty"`
	// Members are the instances that the holder may give grants to, and those
	// whose grants may not have expired yet.
	Members []string `json:"members"`
	// UnrecordedGrants is set if the holder itself may have grants that no
	// peer has recorded.
	UnrecordedGrants bool `json:"unnoted,omitempty"`
	// MissingReports are the instances that may hold grants of earlier epochs
	// and whose report the holder has not received yet.
	MissingReports []string `json:"unheard,omitempty"`
	// WaivedReport is the instance among MissingReports whose grants all the
	// others have recorded, so that its report is not needed once it has been
	// evicted; empty if there is none.
	WaivedReport string `json:"waived,omitempty"`
	// Version is the row's version in the table, not part of its content.
	Version uint64 `json:"-"`
}

// Rows reads and writes the broker rows of one environment.
type Rows struct {
	table  storage.Table
	prefix string
}

// NewRows returns the broker rows of an environment.
func NewRows(table storage.Table, environment string) *Rows {
	return &Rows{table: table, prefix: environment + "/brokers/"}
}

// Scan returns all rows from one consistent read. Errors: *storage.Error, or a
// decoding error.
func (r *Rows) Scan(ctx context.Context) ([]Row, error) {
	stored, err := r.table.Scan(ctx, r.prefix)
	if err != nil {
		return nil, err
	}
	rows := make([]Row, 0, len(stored))
	for _, s := range stored {
		row := Row{Version: s.Version}
		if err := json.Unmarshal(s.Value, &row); err != nil {
			return nil, fmt.Errorf("decode broker row %s: %w", s.Key, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// Write writes a group's row if its version is still row.Version; 0 means that
// the row must not exist. After an unknown outcome, the next Scan shows whether
// the write took effect. Errors: *storage.ConflictError, *storage.Error.
func (r *Rows) Write(ctx context.Context, row Row) error {
	content, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode broker row %s: %w", row.Group, err)
	}
	_, err = r.table.Commit(ctx, []storage.Write{{Key: r.prefix + row.Group.String(), Expected: row.Version, Value: content}})
	return err
}
