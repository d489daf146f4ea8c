package attempts

import (
	"encoding/json"
	"fmt"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// partitionDigits is how many hex digits of its hash name a record's part of the
// table; a part is what one cleanup reads.
const partitionDigits = 3

// partitionCount is the number of parts.
const partitionCount = 1 << (4 * partitionDigits)

// rowKeys makes the names of one environment's rows.
type rowKeys struct {
	environment string
}

func (n rowKeys) record(key attempt.ScopedKey) string {
	hash := key.Hash()
	return fmt.Sprintf("%s/attempts/records/%s/%s", n.environment, hash[:partitionDigits], hash)
}

func (n rowKeys) partition(index int) string {
	return fmt.Sprintf("%s/attempts/records/%0*x/", n.environment, partitionDigits, index)
}

func (n rowKeys) epoch() string { return n.environment + "/attempts/epoch" }

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

// decodeRow reads a row; content that can't be read has an empty state.
func decodeRow(row storage.Row) attempt.Row {
	decoded := attempt.Row{Key: row.Key, Version: row.Version}
	if row.Version == 0 {
		return decoded
	}
	if record, err := attempt.DecodeRecord(row.Value); err == nil {
		decoded.Record = record
	}
	return decoded
}

// encodeWrites encodes changes for the table.
func encodeWrites(changes []*attempt.Change) ([]storage.Write, error) {
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
