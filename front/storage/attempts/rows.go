package attempts

import (
	"encoding/json"
	"fmt"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// partDigits is how many hex digits of its hash name a record's part of the
// table; a part is what one cleanup reads.
const partDigits = 3

// partCount is the number of parts.
const partCount = 1 << (4 * partDigits)

// rowNames makes the names of one environment's rows.
type rowNames struct {
	environment string
}

func (n rowNames) record(name attempt.ScopedKey) string {
	hash := name.Hash()
	return fmt.Sprintf("%s/attempts/records/%s/%s", n.environment, hash[:partDigits], hash)
}

func (n rowNames) part(index int) string {
	return fmt.Sprintf("%s/attempts/records/%0*x/", n.environment, partDigits, index)
}

func (n rowNames) epoch() string { return n.environment + "/attempts/epoch" }

// epochRow is the content of the epoch's row.
type epochRow struct {
	Epoch uint64 `json:"epoch"`
}

func decodeEpoch(value []byte) (uint64, error) {
	var row epochRow
	if err := json.Unmarshal(value, &row); err != nil {
		return 0, fmt.Errorf("attempts: epoch: %w", err)
	}
	return row.Epoch, nil
}

// standing reads a row; content that can't be read has an empty state.
func standing(row storage.Row) attempt.Row {
	s := attempt.Row{Key: row.Key, Version: row.Version}
	if row.Version == 0 {
		return s
	}
	if record, err := attempt.DecodeRecord(row.Value); err == nil {
		s.Record = record
	}
	return s
}

// writes encodes changes for the table.
func writes(changes []*attempt.Change) ([]storage.Write, error) {
	encoded := make([]storage.Write, len(changes))
	for i, c := range changes {
		value, err := c.Record.Encode()
		if err != nil {
			return nil, err
		}
		encoded[i] = storage.Write{Key: c.Key, Expected: c.Expected, Value: value}
	}
	return encoded, nil
}
