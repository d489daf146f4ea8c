package configuration

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

func request(t testing.TB, expect uint64, operation, operator string) PromotionRequest {
	return PromotionRequest{
		Environment: environment, ExpectedGeneration: expect, File: "kano.yaml", Content: exampleDocument(t, false),
		Operation: operation, Operator: operator,
	}
}

func withTimeout(t *testing.T, f func(ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f(ctx)
	})
}

func TestPromoteRefuses(t *testing.T) {
	withTimeout(t, func(ctx context.Context) {
		store := standin.NewStore()
		p := NewPromoter(store)
		faulty := request(t, 0, "op-1", "ana")
		faulty.Content = append(faulty.Content, "extra: field\n"...)
		var fault *document.Error
		if _, err := p.Promote(ctx, faulty); !errors.As(err, &fault) || fault.File != "kano.yaml" {
			t.Errorf("faulty document: %v", err)
		}
		foreign := request(t, 0, "op-2", "ana")
		foreign.Environment = "kano-production"
		var other *EnvironmentError
		if _, err := p.Promote(ctx, foreign); !errors.As(err, &other) {
			t.Errorf("document of another environment: %v", err)
		}
		if counts := store.Counts(); counts.Writes != 0 {
			t.Errorf("refused documents caused %d writes, want 0", counts.Writes)
		}
	})
}

func TestPromoteConflictNamesTheWinner(t *testing.T) {
	withTimeout(t, func(ctx context.Context) {
		p := NewPromoter(standin.NewStore())
		won, err := p.Promote(ctx, request(t, 0, "op-1", "ana"))
		if err != nil {
			t.Fatal(err)
		}
		_, err = p.Promote(ctx, request(t, 0, "op-2", "bilal"))
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Current != won {
			t.Fatalf("err = %v, want a conflict with %v", err, won)
		}
		for _, part := range []string{"ana", "generation 1", won.Digest} {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%q does not name %q", err, part)
			}
		}
	})
}

func TestPromoteSettlesLostAnswers(t *testing.T) {
	withTimeout(t, func(ctx context.Context) {
		store := standin.NewStore()
		p := NewPromoter(store)
		store.SetFaults(standin.Faults{LoseResponses: 3})
		won, err := p.Promote(ctx, request(t, 0, "op-1", "ana"))
		if err != nil || won.Generation != 1 {
			t.Fatalf("promotion = %v, %v", won, err)
		}
		if _, err = p.Promote(ctx, request(t, 1, "op-2", "bilal")); err != nil {
			t.Fatal(err)
		}
		again, err := p.Promote(ctx, request(t, 0, "op-1", "ana"))
		if err != nil || again != won {
			t.Errorf("repeated request after a later promotion: %v, %v; want %v", again, err, won)
		}
	})
}

// refusesAfterWrite is a store that carries out a commit, returns an unknown
// outcome for it and refuses all later calls.
type refusesAfterWrite struct{ *standin.Store }

func (s refusesAfterWrite) Commit(ctx context.Context, writes []storage.Write) ([]uint64, error) {
	_, _ = s.Store.Commit(ctx, writes)
	s.SetFaults(standin.Faults{Refuse: true})
	return nil, &storage.Error{Op: "commit", Effect: storage.EffectUnknown}
}

func TestPromoteSaysWhenTheOutcomeIsUnknown(t *testing.T) {
	withTimeout(t, func(ctx context.Context) {
		store := standin.NewStore()
		_, err := NewPromoter(refusesAfterWrite{store}).Promote(ctx, request(t, 0, "op-1", "ana"))
		var unknown *UnknownOutcomeError
		if !errors.As(err, &unknown) || unknown.Operation != "op-1" {
			t.Errorf("write without a response: %v", err)
		}
	})
	withTimeout(t, func(ctx context.Context) {
		store := standin.NewStore()
		store.SetFaults(standin.Faults{Refuse: true})
		_, err := NewPromoter(store).Promote(ctx, request(t, 0, "op-1", "ana"))
		var failure *storage.Error
		if !errors.As(err, &failure) {
			t.Errorf("store that refuses everything: %v", err)
		}
	})
}

// TestRacingOperators lets operators promote concurrently while responses are
// lost. Exactly one operation must succeed per generation, and generations must
// follow each other without a gap.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rounds := rapid.IntRange(1, 5).Draw(rt, "rounds")
		operators := rapid.IntRange(2, 5).Draw(rt, "operators")
		lost := rapid.SliceOfN(rapid.IntRange(0, 4), rounds, rounds).Draw(rt, "lost")
		synctest.Test(t, func(t *testing.T) {
			store := standin.NewStore()
			for round := range rounds {
				store.SetFaults(standin.Faults{LoseResponses: lost[round], Delay: time.Millisecond})
				race(t, rt, store, uint64(round), operators)
			}
		})
	})
}

// race lets operators promote concurrently and requires that one of them wins
// and that all others get a conflict with it.
func race(t *testing.T, rt *rapid.T, store *standin.Store, expect uint64, operators int) {
	type result struct {
		operator string
		won      Promotion
		err      error
	}
	results := make(chan result, operators)
	for i := range operators {
		go func() {
			operator := fmt.Sprint("operator-", i)
			operation := fmt.Sprint(operator, "-", expect)
			won, err := NewPromoter(store).Promote(t.Context(), request(t, expect, operation, operator))
			results <- result{operator, won, err}
		}()
	}
	var winner string
	losers := map[string]bool{}
	for range operators {
		r := <-results
		var conflict *ConflictError
		switch {
		case r.err == nil && (winner != "" || r.won.Generation != expect+1 || r.won.Operator != r.operator):
			rt.Fatalf("%s won %v after %q won", r.operator, r.won, winner)
		case r.err == nil:
			winner = r.operator
		case errors.As(r.err, &conflict):
			losers[conflict.Current.Operator] = true
		default:
			rt.Fatalf("%s: %v", r.operator, r.err)
		}
	}
	if winner == "" || len(losers) != 1 || !losers[winner] {
		rt.Fatalf("winner %q, but losers got conflicts with %v", winner, losers)
	}
}

// TestPromoteWithoutOperation checks that a promotion without an operation name
// gets one of its own, and does not match an earlier promotion.
func TestPromoteWithoutOperation(t *testing.T) {
	withTimeout(t, func(ctx context.Context) {
		store := standin.NewStore()
		promotion, err := NewPromoter(store).Promote(ctx, request(t, 0, "", "ana"))
		if err != nil || promotion.Generation != 1 {
			t.Fatalf("promoted generation %d, %v, want 1", promotion.Generation, err)
		}
		current, _, err := NewPromoter(store).Current(ctx, environment)
		if err != nil || current.Generation != 1 {
			t.Errorf("generation %d, %v is in force, want 1", current.Generation, err)
		}
	})
}

// headRowBudget is a sixth of the 3 KB per second that control traffic may use
// at the design size; the row is read once per second.
const headRowBudget = 512 // bytes

func TestRowsStaySmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		p := NewPromoter(store)
		const promotions = 2 * maxHistory
		for i := range uint64(promotions) {
			if _, err := p.Promote(t.Context(), request(t, i, uuid.NewString(), "an-operator-with-a-long-name")); err != nil {
				t.Fatal(err)
			}
		}
		head, err := store.Get(t.Context(), HeadKey(environment))
		if err != nil || len(head.Value) > headRowBudget {
			t.Errorf("head row has %d bytes after %d promotions, want at most %d (%v)", len(head.Value), promotions, headRowBudget, err)
		}
		past, err := store.Get(t.Context(), historyKey(environment))
		var h history
		if decodeErr := decodeRow(past, &h); err != nil || decodeErr != nil || len(h.Promotions) != maxHistory {
			t.Errorf("history has %d promotions, want %d (%v, %v)", len(h.Promotions), maxHistory, err, decodeErr)
		}
	})
}
