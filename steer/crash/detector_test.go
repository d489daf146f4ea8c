package crash

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

const (
	deadly  Fingerprint = 1
	another Fingerprint = 2
)

var start = time.Unix(1000, 0)

// at returns the time some seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func endpointNamed(id string) catalog.Incarnation { return catalog.Incarnation{ID: id, StartMS: 1} }

// scene is a detector and what happens to it.
type scene struct {
	*Detector
	t      *testing.T
	events []Event
}

func newScene(t *testing.T) *scene {
	s := &scene{t: t}
	s.Detector = New(DefaultRules(), func(e Event) { s.events = append(s.events, e) })
	s.SetFleet("self", []string{"self"})
	return s
}

// crash ends an endpoint at a time, with requests that were sent to it before.
func (s *scene) crash(id string, sentAt, endedAt float64, requests ...Fingerprint) {
	var runs []Run
	for _, f := range requests {
		runs = append(runs, Run{Fingerprint: f, SentAt: at(sentAt)})
	}
	s.ObserveEnd(at(endedAt), at(endedAt), endpointNamed(id), runs)
	s.reach("elsewhere", endedAt+0.001)
}

// reach lets another endpoint respond to a request.
func (s *scene) reach(id string, seconds float64) {
	s.ObserveReached(at(seconds), at(seconds), endpointNamed(id))
}

// answer lets a request get a response.
func (s *scene) answer(f Fingerprint, seconds float64) {
	s.ObserveAnswer(at(seconds), at(seconds-0.5), endpointNamed("elsewhere"), f)
}

// admission describes what is decided on a request.
func (s *scene) admission(f Fingerprint, seconds float64) string {
	d := s.Begin(at(seconds), f)
	if d.Allowed {
		s.Finish(at(seconds), f, d, true)
	}
	switch {
	case d.Trial:
		return "trial"
	case d.Allowed && d.Once:
		return "once"
	case d.Allowed:
		return "allowed"
	case d.Refused:
		return "refused"
	}
	return "waits"
}

func TestWhichRequestsAreRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(s *scene)
		at   float64
		want string
	}{
		{"nothing known", func(*scene) {}, 1, "allowed"},
		{"one end", func(s *scene) { s.crash("a", 0, 1, deadly) }, 2, "allowed"},
		{"two ends in sequence", func(s *scene) {
			s.crash("a", 0, 1, deadly)
			s.crash("b", 1.1, 1.2, deadly)
		}, 2, "once"},
		{"three ends in sequence", func(s *scene) {
			s.crash("a", 0, 1, deadly)
			s.crash("b", 1.1, 1.2, deadly)
			s.crash("c", 1.3, 1.4, deadly)
		}, 1.5, "refused"},
		{"three ends minutes apart", func(s *scene) {
			s.crash("a", 0, 1, deadly)
			s.crash("b", 180, 181, deadly)
			s.crash("c", 360, 361, deadly)
		}, 362, "refused"},
		{"three ends at the same moment", func(s *scene) {
			s.crash("a", 0, 1, deadly)
			s.crash("b", 0.1, 1, deadly)
			s.crash("c", 0.2, 1.05, deadly)
		}, 2, "once"},
		{"the same without a response for some time", func(s *scene) {
			s.crash("a", 0, 1, deadly)
			s.crash("b", 0.1, 1, deadly)
			s.crash("c", 0.2, 1.05, deadly)
		}, 3.1, "refused"},
		{"the same with a response", func(s *scene) {
			s.crash("a", 0, 1, deadly)
			s.crash("b", 0.1, 1, deadly)
			s.crash("c", 0.2, 1.05, deadly)
			s.answer(deadly, 1.9)
		}, 3.1, "allowed"},
		{"a response between the ends", func(s *scene) {
			s.crash("a", 0, 1, deadly)
			s.crash("b", 1.1, 1.2, deadly)
			s.answer(deadly, 1.3)
			s.crash("c", 1.4, 1.5, deadly)
		}, 2, "allowed"},
		{"a response just before the ends", func(s *scene) {
			s.answer(deadly, 0.5)
			s.crash("a", 0.6, 1, deadly)
			s.crash("b", 1.1, 1.2, deadly)
			s.crash("c", 1.3, 1.4, deadly)
		}, 2, "allowed"},
		{"the same, and one more end later", func(s *scene) {
			s.answer(deadly, 0.5)
			s.crash("a", 0.6, 1, deadly)
			s.crash("b", 1.1, 1.2, deadly)
			s.crash("c", 1.3, 1.4, deadly)
			s.crash("d", 3, 3.1, deadly)
		}, 3.2, "refused"},
		{"a response long before the ends", func(s *scene) {
			s.answer(deadly, 0.5)
			s.crash("a", 15, 16, deadly)
			s.crash("b", 16.1, 16.2, deadly)
			s.crash("c", 16.3, 16.4, deadly)
		}, 17, "refused"},
		{"another request at all three ends, just then", func(s *scene) {
			s.crash("a", 0, 1, deadly, another)
			s.crash("b", 1.1, 1.2, deadly, another)
			s.crash("c", 1.3, 1.4, deadly, another)
		}, 1.5, "once"},
		{"another request at all three ends, after a while", func(s *scene) {
			s.crash("a", 0, 1, deadly, another)
			s.crash("b", 1.1, 1.2, deadly, another)
			s.crash("c", 1.3, 1.4, deadly, another)
		}, 1.8, "refused"},
		{"one endpoint reported thrice", func(s *scene) {
			for range 3 {
				s.crash("a", 0, 1, deadly)
			}
		}, 2, "allowed"},
		{"the endpoints answered later requests", func(s *scene) {
			for i, id := range []string{"a", "b", "c"} {
				s.crash(id, float64(i), float64(i)+0.5, deadly)
				s.reach(id, float64(i)+0.7)
			}
		}, 4, "allowed"},
		{"no endpoint was reached since", func(s *scene) {
			for i, id := range []string{"a", "b", "c"} {
				s.ObserveEnd(at(float64(i)), at(float64(i)), endpointNamed(id), []Run{{deadly, at(float64(i) - 0.5)}})
			}
			s.reach("elsewhere", 5)
		}, 6, "allowed"},
		{"ends that a refused request explains", func(s *scene) {
			s.crash("a", 0, 1, deadly)
			s.crash("b", 1.1, 1.2, deadly, another)
			s.crash("c", 1.3, 1.4, deadly, another)
			s.crash("d", 1.3, 1.5, deadly, another)
		}, 2, ""},
		{"long ago", func(s *scene) {
			s.crash("a", 0, 1, deadly)
			s.crash("b", 1.1, 1.2, deadly)
			s.crash("c", 700, 701, deadly)
		}, 702, "allowed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScene(t)
			c.play(s)
			if c.want == "" {
				if got := s.admission(deadly, c.at) + ", the other " + s.admission(another, c.at); got != "refused, the other allowed" {
					t.Errorf("the request is %s", got)
				}
				return
			}
			if got := s.admission(deadly, c.at); got != c.want {
				t.Errorf("the request is %s, want %s", got, c.want)
			}
		})
	}
}

func TestSuspectRunsOneAtATime(t *testing.T) {
	s := newScene(t)
	s.crash("a", 0, 1, deadly)
	s.crash("b", 1.1, 1.2, deadly)
	d := s.Begin(at(2), deadly)
	if got := s.admission(deadly, 2); got != "waits" {
		t.Errorf("beside one that runs, a suspect is %s", got)
	}
	if s.MayRepeat(at(2), deadly) {
		t.Error("a suspect may be sent to a second endpoint")
	}
	s.Finish(at(3), deadly, d, true)
	if got := s.admission(deadly, 3); got != "once" {
		t.Errorf("after the one that ran, a suspect is %s", got)
	}
}

// fleet is instances that report to each other, each one once a second.
type fleet struct {
	instances []*scene
	names     []string
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{}
	for i := range n {
		f.instances = append(f.instances, newScene(t))
		f.names = append(f.names, fmt.Sprint(i))
	}
	for i, s := range f.instances {
		s.SetFleet(f.names[i], f.names)
	}
	return f
}

// sync exchanges all reports.
func (f *fleet) sync(seconds float64) {
	for _, from := range f.instances {
		for _, to := range f.instances {
			if from != to {
				to.Receive(at(seconds), from.Report(at(seconds)))
			}
		}
	}
}

// Each of three instances sees one end; all refuse the request, one that starts
// later as well.
func TestEvidenceOfAllInstancesCounts(t *testing.T) {
	f := newFleet(t, 4)
	for i, id := range []string{"a", "b", "c"} {
		f.instances[i].crash(id, 1+float64(i)*0.1, 1.05+float64(i)*0.1, deadly)
	}
	f.sync(1.5)
	late := newScene(t)
	late.Receive(at(9), f.instances[3].Report(at(9)))
	for i, s := range append(f.instances, late) {
		if got := s.admission(deadly, 9); got != "refused" {
			t.Errorf("at instance %d the request is %s", i, got)
		}
	}
}

// An instance that has no responses of its own refuses a request too soon. It is
// told of a response before the ends, which lifts the refusal at all.
func TestEarlyRefusalEndsWithTheReportOfAnEarlierAnswer(t *testing.T) {
	f := newFleet(t, 3)
	f.instances[2].answer(deadly, 0.9)
	f.instances[0].crash("a", 0.5, 1, deadly)
	f.instances[0].crash("b", 1.1, 1.2, deadly)
	f.instances[0].crash("c", 1.3, 1.4, deadly)
	if got := f.instances[0].admission(deadly, 1.45); got != "refused" {
		t.Fatalf("the request is %s", got)
	}
	f.sync(1.5)
	f.sync(2)
	for i, s := range f.instances {
		if got := s.admission(deadly, 2.1); got != "allowed" {
			t.Errorf("at instance %d the request is %s", i, got)
		}
	}
}

func TestAnswerAtOneInstanceClearsTheRequestAtAll(t *testing.T) {
	f := newFleet(t, 3)
	f.instances[0].crash("a", 0, 1, deadly)
	f.instances[0].crash("b", 1.1, 1.2, deadly)
	f.instances[0].crash("c", 1.3, 1.4, deadly)
	f.sync(1.5)
	f.instances[2].answer(deadly, 1.8)
	f.sync(2)
	f.sync(2.5)
	for i, s := range f.instances {
		if got := s.admission(deadly, 3); got != "allowed" {
			t.Errorf("at instance %d the request is %s", i, got)
		}
	}
}

func TestOnesOwnAnswersRefuteAReportedEnd(t *testing.T) {
	f := newFleet(t, 3)
	for i, id := range []string{"a", "b", "c"} {
		f.instances[0].crash(id, 1+float64(i)*0.1, 1.05+float64(i)*0.1, deadly)
	}
	for _, s := range f.instances[1:] {
		s.Receive(at(1.2), f.instances[0].Report(at(1.2)))
	}
	f.instances[1].reach("a", 1.3)
	f.instances[1].reach("b", 1.3)
	if got := f.instances[1].admission(deadly, 1.4); got != "refused" {
		t.Fatalf("the request is %s", got)
	}
	f.sync(1.5)
	for i, s := range f.instances {
		if n := len(s.endsAgainst(at(2), deadly)); n != 1 {
			t.Errorf("at instance %d %d ends count, want 1", i, n)
		}
	}
}

// A request that still crashes endpoints is tried three times in all, whatever the
// number of instances; each trial is one send.
func TestTrialsOfARefusedRequest(t *testing.T) {
	f := newFleet(t, 8)
	first := f.instances[0]
	first.crash("a", 0, 1, deadly)
	first.crash("b", 1.1, 1.2, deadly)
	first.crash("c", 1.3, 1.4, deadly)
	trials := 0
	for second := 2; second < 3600; second++ {
		f.sync(float64(second))
		for _, s := range f.instances {
			switch got := s.admission(deadly, float64(second)+0.5); got {
			case "refused":
			case "trial":
				trials++
				s.crash(fmt.Sprint("trial ", trials), float64(second)+0.5, float64(second)+0.6, deadly)
			default:
				t.Fatalf("at %d s the request is %s", second, got)
			}
		}
	}
	if trials != len(DefaultRules().TrialDelays) {
		t.Errorf("%d trials, want %d", trials, len(DefaultRules().TrialDelays))
	}
}

func TestWrongRefusalEndsWithATrial(t *testing.T) {
	f := newFleet(t, 3)
	f.instances[0].crash("a", 0, 1, deadly)
	f.instances[0].crash("b", 1.1, 1.2, deadly)
	f.instances[0].crash("c", 1.3, 1.4, deadly)
	second := 2.0
	for ; second < 60; second++ {
		f.sync(second)
		if s := f.instances[0]; s.admission(deadly, second) == "trial" {
			s.answer(deadly, second+0.3)
			break
		}
	}
	f.sync(second + 1)
	for i, s := range f.instances {
		if got := s.admission(deadly, second+1.5); got != "allowed" {
			t.Errorf("%v s after the refusal the request is %s at instance %d", second, got, i)
		}
	}
}

// What is kept stays bounded, whatever ends and whoever reports it, and the
// request that crashes endpoints is found among the others.
func TestFloodOfFreshRequests(t *testing.T) {
	s := newScene(t)
	fresh := Fingerprint(1000)
	for i := range 3 * maxEnds {
		requests := []Fingerprint{deadly}
		for range 2 * maxRequestsPerEnd {
			fresh++
			requests = append(requests, fresh)
			s.answer(fresh, float64(i)/10)
		}
		s.crash(fmt.Sprint(i), float64(i)/10, float64(i)/10+0.05, requests...)
	}
	if got := s.admission(deadly, 78); got != "refused" {
		t.Errorf("the request that crashes endpoints is %s", got)
	}
	for i := range 3 * maxRefused {
		s.Receive(at(80), Report{Refused: []RefusedReport{{Fingerprint: Fingerprint(5e6 + i)}}})
	}
	if len(s.ends) > maxEnds || len(s.suspects) > maxEnds*maxRequestsPerEnd || len(s.refused) > maxRefused {
		t.Errorf("%d ends, %d suspects and %d refused requests are kept", len(s.ends), len(s.suspects), len(s.refused))
	}
	if r := s.Report(at(80)); len(r.Ends) > maxReportedEnds || len(r.Refused) > maxReportedRefused || len(r.Answered) > maxReportedAnswered {
		t.Errorf("a report of %d ends, %d answered and %d refused requests", len(r.Ends), len(r.Answered), len(r.Refused))
	}
}

// BenchmarkFullDetector measures an answer while as much is kept as can be, and the
// memory of that.
func BenchmarkFullDetector(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := New(DefaultRules(), func(Event) {})
	for i := range maxEnds {
		var runs []Run
		for j := range maxRequestsPerEnd {
			runs = append(runs, Run{Fingerprint(i*maxRequestsPerEnd + j), at(0)})
		}
		d.ObserveEnd(at(1), at(1), endpointNamed(fmt.Sprint(i)), runs)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.ObserveAnswer(at(2), at(0), endpointNamed("elsewhere"), Fingerprint(i))
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
}
