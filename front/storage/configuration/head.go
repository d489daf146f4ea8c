package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// maxHistory is the number of promotions that the history row keeps. A promoter
// whose response was lost looks for its own promotion there.
const maxHistory = 64

// Promotion is one accepted promotion. It is the value of the head row, which
// readers read about once a second, so it is kept small.
type Promotion struct {
	generation.Head
	// Operation is the unique name of the promotion request.
	Operation string `json:"operation"`
	// Operator is the person who requested the promotion.
	Operator string `json:"operator"`
}

// history is the value of the history row: the most recent promotions, newest
// first. It is written in one transaction with the head row and read only by
// promoters.
type history struct {
	Promotions []Promotion `json:"promotions"`
}

// HeadKey returns the key of an environment's head row.
func HeadKey(environment string) string { return environment + "/head" }

// historyKey returns the key of an environment's history row.
func historyKey(environment string) string { return environment + "/promotions" }

// findOperation returns the promotion with the given operation name.
func (h history) findOperation(operation string) (Promotion, bool) {
	for _, promotion := range h.Promotions {
		if promotion.Operation == operation {
			return promotion, true
		}
	}
	return Promotion{}, false
}

// withPromotion returns the history with p added at the front, cut to
// maxHistory.
func (h history) withPromotion(p Promotion) history {
	promotions := append([]Promotion{p}, h.Promotions...)
	return history{Promotions: promotions[:min(len(promotions), maxHistory)]}
}

// decodeHead decodes a head row. It returns the zero Promotion for a row that
// does not exist.
func decodeHead(row storage.Row) (Promotion, error) {
	var head Promotion
	err := decodeRow(row, &head)
	return head, err
}

// decodeRow decodes a row into value and leaves value unchanged if the row does
// not exist.
func decodeRow(row storage.Row, value any) error {
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, value); err != nil {
		return fmt.Errorf("row %s: %w", row.Key, err)
	}
	return nil
}
