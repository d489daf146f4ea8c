package pace

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// step is one observation.
type step struct {
	at    float64
	load  int // 0 for none
	ratio float64
	o     Outcome
}

// answers returns n answers, a tenth of a second apart.
func answers(n int, from float64, load int, ratio float64) []step {
	var steps []step
	for i := range n {
		steps = append(steps, step{from + 0.1*float64(i), load, ratio, Answered})
	}
	return steps
}

// Guards against a limit that ignores how the endpoint answers, in either direction.
func TestAllowed(t *testing.T) {
	const ended = -1
	usual := slices.Clip(answers(3, 0.5, 4, 1)) // a load of 4 shows that it carries 4
	for _, c := range []struct {
		name  string
		slots int
		steps []step
		now   float64
		want  int
	}{
		{"at first", 8, nil, 0, 2},
		{"a single slot", 1, nil, 0, 1},
		{"usual answers", 8, usual, 1, 7},
		{"answers show less load than the limit", 8, answers(4, 0.5, 1, 1), 1, 2},
		{"others carry more", 8, answers(1, 0.5, 5, 1), 1, 6},
		{"reached", 8, answers(6, 0.5, 7, 1), 1.1, ended},
		{"slower than usual", 8, answers(9, 0.5, 2, 2), 1.5, 3},
		{"slow", 8, append(usual, answers(6, 1, 4, 5)...), 1.6, 3},
		{"slow from the first answer on", 8, answers(6, 0.5, 2, 5), 1.1, 2},
		{"one request with much work", 8, append(usual, step{1, 4, 7, Answered}), 1, 7},
		{"shed", 8, append(usual, step{1, 0, 0, Shed}), 1, 3},
		{"sheds of one moment", 8, append(usual, step{1, 0, 0, Shed}, step{1.1, 0, 0, Shed}), 1.1, 3},
		{"sheds again", 8, append(usual, step{1, 0, 0, Shed}, step{1.6, 0, 0, Shed}), 1.6, 1},
		{"failed", 8, append(usual, step{1, 0, 0, Failed}), 1, 3},
		{"unreachable", 8, append(usual, step{1, 0, 0, Unreachable}), 1, 1},
		{"requests without work say nothing of the speed", 8, append(usual, answers(6, 1, 4, 0)...), 1.6, ended},
		{"no traffic", 8, nil, 9.9, 2},
		{"no traffic for longer", 8, nil, 10, ended},
		{"serving with little traffic", 8, answers(1, 1, 1, 1), 5, ended},
		{"shed since", 8, []step{{1, 1, 1, Answered}, {4, 0, 0, Shed}}, 5, 1},
		{"slow with little traffic", 8, answers(6, 0.5, 2, 5), 9, 2},
		{"slow for long", 8, answers(6, 0.5, 2, 5), 10, ended},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l Limit
			l.Begin(start, c.slots)
			for _, s := range c.steps {
				if s.load > 0 {
					l.SetLoad(at(s.at), s.load)
				}
				l.Observe(at(s.at), s.ratio, s.o)
			}
			got, limited := l.Allowed(at(c.now))
			if !limited {
				got = ended
			}
			if got != c.want {
				t.Errorf("allowed %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against instances that each start with a request of their own: those that
// hear nothing of each other send as many as one limit allows, and an endpoint that
// the first ones do not use is found.
func TestInstancesBeginOneAfterTheOther(t *testing.T) {
	const fleet = 139
	admitted := func(seconds float64) (ranks int) {
		for rank := range fleet {
			var l Limit
			l.Begin(start, 4)
			own := 0
			for l.Admits(at(seconds), Place{rank, fleet}, own, own) && own < fleet {
				own++
			}
			if own > 1 {
				t.Fatalf("an instance of %d sends %d requests at once", fleet, own)
			}
			ranks += own
		}
		return ranks
	}
	if n := admitted(0); n != initial {
		t.Errorf("%d requests at once, want %d", n, initial)
	}
	if n := admitted(1); n < fleet/8 || n > fleet/4 {
		t.Errorf("%d instances after 1 s", n)
	}
	if n := admitted(5); n != fleet {
		t.Errorf("%d instances after 5 s, want all", n)
	}
	var alone Limit
	alone.Begin(start, 4)
	if !alone.Admits(start, Place{0, 1}, 1, 1) || alone.Admits(start, Place{0, 1}, 2, 2) {
		t.Error("an instance without others does not use the whole limit")
	}
}
