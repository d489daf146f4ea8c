package shifts

import (
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

func TestHeadroomForRegion(t *testing.T) {
	doc, err := document.Decode("test.yaml", []byte(testDocument))
	if err != nil {
		t.Fatal(err)
	}
	index := document.Compile(doc)
	const capacity = 1000
	tests := []struct {
		desc  string
		loads []Load
		want  shift.Headroom
	}{
		{
			"a free region",
			[]Load{{Service: "ledger", FailureDomain: "kaduna-a", Slots: 2, BytesPerSecond: 100}},
			shift.Headroom{Demand: 2, SpareCapacity: 3, LinkDemand: 100, LinkSpareCapacity: capacity - 100},
		},
		{
			"a busy region",
			[]Load{{Service: "ledger", FailureDomain: "kaduna-a", Slots: 2}, {Service: "ledger", FailureDomain: "kano-a", Slots: 2.5}},
			shift.Headroom{Demand: 2, SpareCapacity: 0.5, LinkSpareCapacity: capacity},
		},
		{
			"the service with the least headroom counts",
			[]Load{
				{Service: "ledger", FailureDomain: "kaduna-a", Slots: 1},
				{Service: "tracker", FailureDomain: "kaduna-a", Slots: 1},
				{Service: "tracker", FailureDomain: "kano-a", Slots: 2},
			},
			shift.Headroom{Demand: 1, SpareCapacity: 1, LinkSpareCapacity: capacity},
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			u := sumLoads(index, []loadReport{{region: "kano", loads: tt.loads}})
			if got := headroomFor(index, u, "kaduna", capacity); got != tt.want {
				t.Errorf("headroom %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestHeadroomNeedsEveryInstance(t *testing.T) {
	now := time.Now()
	const maxAge = 10 * time.Second
	var table loadTable
	table.store(now, Report{Instance: "i1", LoadsReliable: true})
	table.store(now, Report{Instance: "i2"})
	if _, complete := table.collectFresh(now, []string{"i1", "i2"}, maxAge); complete {
		t.Error("complete without a reliable load of i2")
	}
	table.store(now, Report{Instance: "i2", LoadsReliable: true})
	if _, complete := table.collectFresh(now, []string{"i1", "i2"}, maxAge); !complete {
		t.Error("not complete with both loads")
	}
	if _, complete := table.collectFresh(now.Add(maxAge+time.Second), []string{"i1", "i2"}, maxAge); complete {
		t.Error("complete with expired loads")
	}
}
