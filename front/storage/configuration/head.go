package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// maxHistory is the number of promotions that the history row keeps. A promoter
// whose answer was lost finds its own among them.
const maxHistory = 64

// Promotion is one accepted promotion. It is the value of the head row, which
// every instance reads about once a second.
type Promotion struct {
	generation.Head
	// Operation is the unique name of the write.
	Operation string `json:"operation"`
	// Operator is who asked for the promotion.
	Operator string `json:"operator"`
}

// history is the value of the history row: the latest promotions, latest
// first. It is written together with the head row and read by promoters only.
type history struct {
	Promotions []Promotion `json:"promotions"`
}

// HeadKey returns the key of an environment's head row.
func HeadKey(environment string) string { return environment + "/head" }

// historyKey returns the key of an environment's history row.
func historyKey(environment string) string { return environment + "/promotions" }

// findOperation returns the promotion with the given operation.
func (h history) findOperation(operation string) (Promotion, bool) {
	for _, promotion := range h.Promotions {
		if promotion.Operation == operation {
			return promotion, true
		}
	}
	return Promotion{}, false
}

// withPromotion returns the history after one more promotion.
func (h history) withPromotion(p Promotion) history {
	promotions := append([]Promotion{p}, h.Promotions...)
	return history{Promotions: promotions[:min(len(promotions), maxHistory)]}
}

// decodeHead reads a head row. A row that does not exist gives the zero
// promotion.
func decodeHead(row storage.Row) (Promotion, error) {
	var head Promotion
	err := decodeRow(row, &head)
	return head, err
}

// decodeRow reads a row that may not exist into value.
func decodeRow(row storage.Row, value any) error {
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, value); err != nil {
		return fmt.Errorf("row %s: %w", row.Key, err)
	}
	return nil
}
