package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
)

// domainCodec reads the failure domain of an endpoint from its row.
type domainCodec struct{ Codec }

func (domainCodec) Endpoint(row registry.Row, _ time.Time) (catalog.Endpoint, error) {
	if len(row.Value) == 0 {
		return catalog.Endpoint{}, errors.New("empty row")
	}
	return catalog.Endpoint{ID: row.Key, Service: "s", FailureDomain: string(row.Value), Slots: 1}, nil
}

// Odd rows that change all the time are left out, their lines are bounded, and the
// endpoints of the other rows stay in use.
func TestOddRowsAreLeftOutWithFewLines(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(&out)
	p := placing.New(placing.DefaultRules(), placing.Locality{Self: "i", Region: "r", FailureDomain: "d", Regions: map[string]string{"d": "r"}})
	v := newStoreView(Adapters{Codec: domainCodec{}}, p, nil, nil, nil, log)
	now := time.Unix(1000, 0)
	const seconds, changesPerSecond = 3, 10
	for change := range seconds * changesPerSecond {
		now = now.Add(time.Second / changesPerSecond)
		rows := map[string]registry.Row{"good": {Key: "good", Value: []byte("d"), Revision: 1}}
		for i := range 20 {
			odd := fmt.Sprint("odd-", i)
			rows[odd] = registry.Row{Key: odd, Revision: uint64(change + 2), Value: []byte(strings.Repeat("elsewhere", i%2))}
		}
		if all := v.decodeEntries(now, rows); len(all) != 1 || all[0].ID != "good" {
			t.Fatalf("endpoints %v", all)
		}
	}
	lines := strings.Count(out.String(), "Failed to decode")
	if lines == 0 || lines > (seconds+1)*faultLinesPerSecond || !strings.Contains(out.String(), "omitted") {
		t.Errorf("%d lines:\n%.500s", lines, out.String())
	}
}
