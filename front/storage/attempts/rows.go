package attempts

import (
	"encoding/json"
	"fmt"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// partitionDigits is the number of leading hex digits of a record's hash that
// name its partition. A cleanup reads one partition.
const partitionDigits = 3

const partitionCount = 1 << (4 * partitionDigits)

// rowKeys builds the row keys of one environment.
type rowKeys struct {
	environment string
}

func (k rowKeys) record(key attempt.ScopedKey) string {
	hash := key.Hash()
	return fmt.Sprintf("%s/attempts/records/%s/%s", k.environment, hash[:partitionDigits], hash)
}

func (k rowKeys) partition(index int) string {
	return fmt.Sprintf("%s/attempts/records/%0*x/", k.environment, partitionDigits, index)
}

func (k rowKeys) epoch() string { return k.environment + "/attempts/epoch" }

// epochRow is the content of the epoch row.
type epochRow struct {
	Epoch uint64 `json:"epoch"`
}

func decodeEpoch(value []byte) (uint64, error) {
	var row epochRow
	if err := json.Unmarshal(value, &row); err != nil {
		return 0, fmt.Errorf("attempts: decode epoch row: %w", err)
	}
	return row.Epoch, nil
}

// decodeRow decodes a row. If the content is invalid, the record's State is
// empty.
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

// encodeWrites encodes changes as conditional writes.
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
