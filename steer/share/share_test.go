package share

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func drawClaimants(t *rapid.T) []Claimant {
	var claimants []Claimant
	for i := range rapid.IntRange(1, 10).Draw(t, "instances") {
		claimants = append(claimants, Claimant{
			Instance: fmt.Sprintf("i%d", i),
			Region:   rapid.SampledFrom([]string{"kano", "kaduna", "sokoto"}).Draw(t, "region"),
			Demand:   rapid.Float64Range(0, 50).Draw(t, "demand"),
			Home:     rapid.Bool().Draw(t, "home"),
		})
	}
	return claimants
}

func TestTargetsMeetDemandAndMovesKeepTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claimants := drawClaimants(t)
		rate := rapid.Float64Range(1, 200).Draw(t, "rate")
		targets := Targets(Resource{Rate: rate, MaxHolders: 10}, Division{}, claimants)
		var d Division
		d, err := d.Apply(Distribute(d, "", TotalUnits, claimants, targets))
		if err != nil {
			t.Fatal(err)
		}
		total := 0.0
		for _, c := range claimants {
			total += c.Demand
		}
		for i, c := range claimants {
			got := float64(d.UnitsOf(c.Instance)) / float64(TotalUnits) * rate
			if total <= rate && got < c.Demand-rate/1000 {
				t.Fatalf("%s has demand %.2f and a target of %.2f of %.2f (targets %v)", c.Instance, c.Demand, got, rate, targets[i])
			}
		}
		for _, c := range claimants {
			after, err := d.Apply(TransferSurplus(d, c.Instance, claimants, Targets(Resource{Rate: rate, MaxHolders: 10}, d, redrawDemands(t, claimants)), 1))
			if err != nil {
				t.Fatal(err)
			}
			if after.Validate() != nil || after.Sum() != d.Sum() {
				t.Fatalf("transfer of %s turned %v into %v", c.Instance, d, after)
			}
			d = after
		}
	})
}

func redrawDemands(t *rapid.T, claimants []Claimant) []Claimant {
	next := append([]Claimant(nil), claimants...)
	for i := range next {
		next[i].Demand = rapid.Float64Range(0, 50).Draw(t, "next demand")
	}
	return next
}

func TestInvalidDivisionIsRefused(t *testing.T) {
	tests := []struct {
		desc    string
		content string
	}{
		{"sum above the whole", `{"holdings":[{"instance":"a","units":6000},{"instance":"b","units":4001}]}`},
		{"repeated instance", `{"holdings":[{"instance":"a","units":1},{"instance":"a","units":1}]}`},
		{"negative part", `{"holdings":[{"instance":"a","units":-1}]}`},
		{"not JSON", `{`},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if _, err := DecodeDivision([]byte(tt.content)); err == nil {
				t.Error("accepted")
			}
		})
	}
	if _, err := (Division{}).Apply([]Move{{From: "a", To: "b", Units: 1}}); err == nil {
		t.Error("moved what the holder does not have")
	}
}

// TestReservationEndsWithANewerRow checks that reserved units stay unusable until
// a newer row shows whether the transfer was written. Otherwise two instances
// could use the same units.
func TestReservationEndsWithANewerRow(t *testing.T) {
	var a Account
	a.Observe(3, 1000)
	if !a.Reserve(400) || a.Usable() != 600 {
		t.Fatalf("usable %d after a transfer of 400 of 1000", a.Usable())
	}
	a.Observe(3, 1000) // the row as it was: the write may still arrive
	if a.Usable() != 600 {
		t.Errorf("usable %d after a read at the same version, want 600", a.Usable())
	}
	a.Observe(2, 5000) // a late answer to an older read
	if a.Usable() != 600 {
		t.Errorf("usable %d after an older read, want 600", a.Usable())
	}
	a.Observe(4, 600)
	if a.Usable() != 600 || a.Reserved() != 0 {
		t.Errorf("usable %d, reserved %d after a row with the transfer, want 600 and 0", a.Usable(), a.Reserved())
	}
}

func TestAccountLoansEndByThemselves(t *testing.T) {
	now := time.Unix(100, 0)
	var a Account
	a.Observe(1, 1000)
	a.Lend("x", 300, now.Add(time.Second))
	a.Borrow("y", 50, now.Add(2*time.Second))
	if a.Usable() != 750 || a.Transferable() != 700 {
		t.Fatalf("usable %d, transferable %d", a.Usable(), a.Transferable())
	}
	a.Expire(now.Add(time.Second))
	if a.Usable() != 1050 {
		t.Errorf("usable %d after the first loan's end", a.Usable())
	}
	a.Expire(now.Add(2 * time.Second))
	if a.Usable() != 1000 || a.HasLoans() {
		t.Errorf("usable %d after both ends", a.Usable())
	}
}
