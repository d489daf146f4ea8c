package retry

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "5000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// maxAddedLoad bounds the load that retries add in an outage.
const maxAddedLoad = 0.10

func newBudget(t testing.TB) *Budget {
	t.Helper()
	budget, err := NewBudget(BudgetSettings{Ratio: DefaultRatio, Burst: DefaultBurst})
	if err != nil {
		t.Fatal(err)
	}
	return budget
}

func TestDecide(t *testing.T) {
	retryable := Failure{Verdict: verdict.NotRun, Idempotent: true, BodyReplayable: true, Attempts: 1, Remaining: time.Second}
	tests := []struct {
		desc   string
		change func(*Failure)
		want   Denial
	}{
		{"idempotent, proved not run", func(*Failure) {}, DenialNone},
		{"idempotent, outcome unknown", func(f *Failure) { f.Verdict = verdict.MayHaveRun }, DenialNone},
		{"not idempotent, proved not run", func(f *Failure) { f.Idempotent = false }, DenialNone},
		{"not idempotent, outcome unknown", func(f *Failure) { f.Idempotent, f.Verdict = false, verdict.MayHaveRun }, DenialOutcomeUnknown},
		{"answered", func(f *Failure) { f.Verdict = verdict.Ran }, DenialAnswered},
		{"response started", func(f *Failure) { f.AnswerStarted = true }, DenialAnswerStarted},
		{"body not replayable", func(f *Failure) { f.BodyReplayable = false }, DenialBodySent},
		{"third attempt", func(f *Failure) { f.Attempts = DefaultMaxAttempts }, DenialAttempts},
		{"no time left", func(f *Failure) { f.Remaining = time.Millisecond }, DenialDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			failure := retryable
			tt.change(&failure)
			if got := DefaultPolicy().Decide(failure, newBudget(t)); got != tt.want {
				t.Fatalf("Decide(%+v) = %q, want %q", failure, got, tt.want)
			}
		})
	}
}

// TestNeverTwiceAfterUnknown checks with random failures and budgets that a
// request that may have run is retried only if it is idempotent.
func TestNeverTwiceAfterUnknown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, err := NewBudget(BudgetSettings{Ratio: 1, Burst: rapid.IntRange(1, 100).Draw(t, "burst")})
		if err != nil {
			t.Fatal(err)
		}
		failure := Failure{
			Verdict:        rapid.SampledFrom([]verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran}).Draw(t, "verdict"),
			Idempotent:     rapid.Bool().Draw(t, "idempotent"),
			BodyReplayable: rapid.Bool().Draw(t, "replayable"),
			AnswerStarted:  rapid.Bool().Draw(t, "started"),
			Attempts:       rapid.IntRange(1, 5).Draw(t, "attempts"),
			Remaining:      time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(t, "remaining")),
		}
		if DefaultPolicy().Decide(failure, budget) != DenialNone {
			return
		}
		if failure.Verdict != verdict.NotRun && !failure.Idempotent {
			t.Fatalf("%+v is retried although it may have run", failure)
		}
	})
}

// TestAddedLoadInOutage fails every attempt of many requests, starting with a full
// budget. The smallest outage is the one from which on the deposits make up for
// the initial burst.
func TestAddedLoadInOutage(t *testing.T) {
	policy := DefaultPolicy()
	for _, requests := range []int{251, 1_000, 100_000} {
		budget := newBudget(t)
		retries := 0
		for range requests {
			retries += failAll(policy, budget)
		}
		added := float64(retries) / float64(requests)
		if added >= maxAddedLoad || retries == 0 {
			t.Errorf("%d requests: %d retries add %.3f, want above 0 and under %.2f", requests, retries, added, maxAddedLoad)
		}
	}
}

// failAll sends one request whose attempts all fail and returns the number of
// retries.
func failAll(policy Policy, budget *Budget) int {
	budget.Deposit()
	failure := Failure{Idempotent: true, BodyReplayable: true, Attempts: 1, Remaining: time.Second}
	for policy.Decide(failure, budget) == DenialNone {
		failure.Attempts++
	}
	return failure.Attempts - 1
}

// TestLoneFailuresAreRetried lets 1 % of the attempts fail at random, well within
// the budget. No retry may be denied because the budget is empty.
func TestLoneFailuresAreRetried(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	budget := newBudget(t)
	policy := DefaultPolicy()
	for range 100_000 {
		budget.Deposit()
		failure := Failure{Idempotent: true, BodyReplayable: true, Attempts: 1, Remaining: time.Second}
		for random.IntN(100) == 0 {
			if denial := policy.Decide(failure, budget); denial == DenialBudget {
				t.Fatalf("attempt %d denied with an empty budget at 1 %% failures", failure.Attempts)
			} else if denial != DenialNone {
				break
			}
			failure.Attempts++
		}
	}
}

func TestBudgetSettingsAreChecked(t *testing.T) {
	for _, s := range []BudgetSettings{{}, {Ratio: 2, Burst: 1}, {Ratio: 0.1}, {Ratio: -1, Burst: 1}} {
		if _, err := NewBudget(s); err == nil {
			t.Errorf("NewBudget(%+v) succeeded, want an error", s)
		}
	}
}

// TestTokenOfARetryThatWasNotSent checks that the refunded token of a retry that
// was not sent pays for the next one and never makes the budget larger.
func TestTokenOfARetryThatWasNotSent(t *testing.T) {
	b, err := NewBudget(BudgetSettings{Ratio: 0.1, Burst: 2})
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if !b.TryWithdraw() {
			t.Fatal("no token left although each one was refunded")
		}
		b.Refund()
	}
	b.Refund()
	granted := 0
	for b.TryWithdraw() {
		granted++
	}
	if granted != 2 {
		t.Errorf("%d retries were granted, the budget is 2", granted)
	}
}
