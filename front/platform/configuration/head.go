package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/cardamomfront/cardamomfront/front/platform"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// maxHistory is the number of earlier promotions that the head row keeps. A
// promoter whose answer was lost finds its own among them.
const maxHistory = 16

// Promotion is one accepted promotion.
type Promotion struct {
	generation.Head
	// Operation is the unique name of the write.
	Operation string `json:"operation"`
	// Operator is who asked for the promotion.
	Operator string `json:"operator"`
}

// HeadRow is the value of the head row.
type HeadRow struct {
	Promotion
	// History holds the promotions before this one, latest first.
	History []Promotion `json:"history,omitempty"`
}

// HeadKey returns the key of an environment's head row.
func HeadKey(environment string) string { return environment + "/head" }

// find returns the promotion with the given operation.
func (h HeadRow) find(operation string) (Promotion, bool) {
	if h.Operation == operation {
		return h.Promotion, true
	}
	for _, earlier := range h.History {
		if earlier.Operation == operation {
			return earlier, true
		}
	}
	return Promotion{}, false
}

// next returns the row that follows h.
func (h HeadRow) next(digest, operation, operator string) HeadRow {
	row := HeadRow{Promotion: Promotion{
		Head:      generation.Head{Generation: h.Generation + 1, Digest: digest},
		Operation: operation,
		Operator:  operator,
	}}
	if h.Generation == 0 {
		return row
	}
	row.History = append([]Promotion{h.Promotion}, h.History...)
	row.History = row.History[:min(len(row.History), maxHistory)]
	return row
}

// decodeHead reads a head row. A row that does not exist gives the zero head.
func decodeHead(row platform.Row) (HeadRow, error) {
	var head HeadRow
	if row.Version == 0 {
		return head, nil
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, fmt.Errorf("head row %s: %w", row.Key, err)
	}
	return head, nil
}
