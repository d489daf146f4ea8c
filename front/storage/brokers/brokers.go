// Package brokers keeps in the platform's table which instance hands out the
// slots of which group, and to whom it may.
//
// Each group has one row. Its holder is the group's broker and the only one to
// write it, until the holder has been evicted from the fleet. A successor reads
// from the row which instances may hold grants.
package brokers

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// Row is one group's row.
type Row struct {
	// Group names the slots.
	Group slots.Group `json:"group"`
	// Holder names the instance that hands them out.
	Holder string `json:"holder"`
	// Epoch counts the brokers of the group, from 1.
	Epoch uint64 `json:"epoch"`
	// LongestGrant bounds the grants of this epoch.
	LongestGrant time.Duration `json:"longestGrant"`
	// PreviousLongestGrant bounds the grants of all earlier epochs.
	PreviousLongestGrant time.Duration `json:"formerGrant,omitempty"`
	// Members are the instances that the holder may give grants to, and those
	// whose grants may not have lapsed yet.
	Members []string `json:"members"`
	// UnrecordedGrants says that the holder may have grants that no other instance
	// noted.
	UnrecordedGrants bool `json:"unnoted,omitempty"`
	// MissingReports are the instances that may hold grants of earlier epochs and
	// that the holder has not heard yet.
	MissingReports []string `json:"unheard,omitempty"`
	// WaivedReport is the one among Unheard whose grants all the others know of; it
	// is empty when there is none.
	WaivedReport string `json:"waived,omitempty"`
	// Version is the row's version in the table, not part of its content.
	Version uint64 `json:"-"`
}

// Rows are the rows of one environment.
type Rows struct {
	table  storage.Table
	prefix string
}

// NewRows returns the rows of an environment.
func NewRows(table storage.Table, environment string) *Rows {
	return &Rows{table: table, prefix: environment + "/brokers/"}
}

// Scan reads all rows as one consistent read. Errors: *storage.Error, or a row
// that can't be decoded.
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
// there is none. Whether an unknown outcome took effect shows at the next Scan.
// Errors: *storage.ConflictError, *storage.Error.
func (r *Rows) Write(ctx context.Context, row Row) error {
	content, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode broker row %s: %w", row.Group, err)
	}
	_, err = r.table.Commit(ctx, []storage.Write{{Key: r.prefix + row.Group.String(), Expected: row.Version, Value: content}})
	return err
}
