// Package brokers keeps in the platform's table which instance hands out the
// slots of which group.
//
// Each group has one row. The row's version is the broker's epoch: it rises
// with every change of broker and never falls.
package brokers

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cardamomfront/cardamomfront/front/platform"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// Row is one group's row.
type Row struct {
	// Group names the slots.
	Group slots.Group `json:"group"`
	// Holder names the instance that hands them out.
	Holder string `json:"holder"`
	// LongestGrant bounds the grants of this epoch.
	LongestGrant time.Duration `json:"longestGrant"`
	// FormerGrant bounds the grants of all earlier epochs.
	FormerGrant time.Duration `json:"formerGrant"`
	// Epoch is the row's version; it is not part of the row's content.
	Epoch uint64 `json:"-"`
}

// Rows are the rows of one environment.
type Rows struct {
	table  platform.Table
	prefix string
}

// NewRows returns the rows of an environment.
func NewRows(table platform.Table, environment string) *Rows {
	return &Rows{table: table, prefix: environment + "/brokers/"}
}

// Scan reads all rows as one consistent read. Errors: *platform.Error, or a row
// that can't be decoded.
func (r *Rows) Scan(ctx context.Context) ([]Row, error) {
	stored, err := r.table.Scan(ctx, r.prefix)
	if err != nil {
		return nil, err
	}
	rows := make([]Row, 0, len(stored))
	for _, s := range stored {
		row := Row{Epoch: s.Version}
		if err := json.Unmarshal(s.Value, &row); err != nil {
			return nil, fmt.Errorf("decode broker row %s: %w", s.Key, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// Claim writes a group's row if its version is still row.Epoch; 0 means that
// there is none. Whether an unknown outcome took effect shows at the next Scan.
// Errors: *platform.ConflictError, *platform.Error.
func (r *Rows) Claim(ctx context.Context, row Row) error {
	content, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode broker row %s: %w", row.Group, err)
	}
	_, err = r.table.Commit(ctx, []platform.Write{{Key: r.prefix + row.Group.String(), Expected: row.Epoch, Value: content}})
	return err
}
