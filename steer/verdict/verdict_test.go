package verdict

import "testing"

func TestZeroValueClaimsNothing(t *testing.T) {
	var v Verdict
	if v != MayHaveRun {
		t.Fatalf("zero verdict = %v, want %v", v, MayHaveRun)
	}
}

func TestCombine(t *testing.T) {
	tests := []struct {
		desc string
		a, b Verdict
		want Verdict
	}{
		{"neither started", NotRun, NotRun, NotRun},
		{"one may have run", NotRun, MayHaveRun, MayHaveRun},
		{"refused once, then ran", NotRun, Ran, Ran},
		{"may have run, then ran", MayHaveRun, Ran, Ran},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got := tt.a.Combine(tt.b); got != tt.want {
				t.Errorf("%v.Combine(%v) = %v, want %v", tt.a, tt.b, got, tt.want)
			}
			if got := tt.b.Combine(tt.a); got != tt.want {
				t.Errorf("%v.Combine(%v) = %v, want %v", tt.b, tt.a, got, tt.want)
			}
		})
	}
}
