package crash

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// Report is what an instance tells others: what it has learned of late, and all
// requests that are refused, since their receiver may have started later.
type Report struct {
	// Ends are ends of endpoints.
	Ends []EndReport `json:"e,omitempty"`
	// Answered are suspected requests that got a response.
	Answered []AnswerReport `json:"a,omitempty"`
	// Refused are the refused requests.
	Refused []RefusedReport `json:"r,omitempty"`
}

// EndReport is the end of an endpoint's process.
type EndReport struct {
	// ID and StartMS identify the endpoint.
	ID      string `json:"i"`
	StartMS int64  `json:"b,omitempty"`
	// AgeMS is the time since the end, in milliseconds.
	AgeMS int64 `json:"a"`
	// Requests holds the requests that ran there: 8 bytes of a fingerprint, and 2 of
	// the milliseconds from its sending to the end.
	Requests []byte `json:"q,omitempty"`
	// Refuted is set if the process has answered a later request.
	Refuted bool `json:"x,omitempty"`
}

// runBytes is the length of one request in EndReport.Requests.
const runBytes = 10

// AnswerReport is a suspected request that got a response.
type AnswerReport struct {
	Fingerprint Fingerprint `json:"f"`
	// AgeMS is the time since the response, in milliseconds.
	AgeMS int64 `json:"a"`
}

// RefusedReport is a refused request.
type RefusedReport struct {
	Fingerprint Fingerprint `json:"f"`
	// AgeMS is the time since the refusal or its last trial, in milliseconds.
	AgeMS int64 `json:"a"`
	// Trials is the number of trials so far.
	Trials int `json:"n,omitempty"`
	// TrialInMS is the time until the next trial, in milliseconds; negative if one
	// is overdue, nil if there is none.
	TrialInMS *int64 `json:"t,omitempty"`
}

// Report returns what other instances are to be told.
func (d *Detector) Report(now time.Time) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var r Report
	for _, e := range d.ends {
		if e.confirmed && now.Sub(e.learnedAt) <= reportPeriod {
			r.Ends = append(r.Ends, e.report(now))
		}
	}
	slices.SortFunc(r.Ends, func(a, b EndReport) int { return int(a.AgeMS - b.AgeMS) })
	r.Ends = r.Ends[:min(len(r.Ends), maxReportedEnds)]
	for f, s := range d.suspects {
		if !s.answeredAt.IsZero() && now.Sub(s.learnedAt) <= reportPeriod {
			r.Answered = append(r.Answered, AnswerReport{Fingerprint: f, AgeMS: now.Sub(s.answeredAt).Milliseconds()})
		}
	}
	slices.SortFunc(r.Answered, func(a, b AnswerReport) int { return int(a.AgeMS - b.AgeMS) })
	r.Answered = r.Answered[:min(len(r.Answered), maxReportedAnswered)]
	for f, known := range d.refused {
		r.Refused = append(r.Refused, known.report(now, f))
	}
	slices.SortFunc(r.Refused, func(a, b RefusedReport) int { return int(a.AgeMS - b.AgeMS) })
	r.Refused = r.Refused[:min(len(r.Refused), maxReportedRefused)]
	return r
}

func (e *end) report(now time.Time) EndReport {
	r := EndReport{ID: e.endpoint.ID, StartMS: e.endpoint.StartMS, AgeMS: now.Sub(e.at).Milliseconds(), Refuted: e.refuted}
	for f, sentAt := range e.requests {
		ran := min(max(0, e.at.Sub(sentAt).Milliseconds()), math.MaxUint16)
		r.Requests = binary.BigEndian.AppendUint64(r.Requests, uint64(f))
		r.Requests = binary.BigEndian.AppendUint16(r.Requests, uint16(ran))
	}
	return r
}

func (r *refused) report(now time.Time, f Fingerprint) RefusedReport {
	reported := RefusedReport{Fingerprint: f, AgeMS: now.Sub(r.since).Milliseconds(), Trials: r.trials}
	if !r.trialAt.IsZero() {
		in := r.trialAt.Sub(now).Milliseconds()
		reported.TrialInMS = &in
	}
	return reported
}

// Receive applies the report of another instance.
func (d *Detector) Receive(now time.Time, r Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := func(ageMS int64) time.Time { return now.Add(-time.Duration(ageMS) * time.Millisecond) }
	for _, reported := range r.Ends[:min(len(r.Ends), maxReportedEnds)] {
		d.receiveEnd(now, before(reported.AgeMS), reported)
	}
	for _, reported := range r.Answered[:min(len(r.Answered), maxReportedAnswered)] {
		d.setAnswered(now, before(reported.AgeMS), reported.Fingerprint)
	}
	for _, reported := range r.Refused[:min(len(r.Refused), maxReportedRefused)] {
		d.receiveRefused(now, before(reported.AgeMS), reported)
	}
	if len(r.Ends)+len(r.Refused) > 0 {
		d.prune(now)
	}
}

// receiveEnd applies an end that another instance reports.
func (d *Detector) receiveEnd(now, at time.Time, reported EndReport) {
	var runs []Run
	for rest := reported.Requests; len(rest) >= runBytes && len(runs) < maxRequestsPerEnd; rest = rest[runBytes:] {
		ran := time.Duration(binary.BigEndian.Uint16(rest[8:])) * time.Millisecond
		runs = append(runs, Run{Fingerprint: Fingerprint(binary.BigEndian.Uint64(rest)), SentAt: at.Add(-ran)})
	}
	endpoint := catalog.Incarnation{ID: reported.ID, StartMS: reported.StartMS}
	if reported.Refuted {
		if e := d.ends[endpoint]; e != nil && !e.refuted {
			e.refuted, e.learnedAt = true, now
		}
		return
	}
	d.addEnd(now, at, endpoint, runs, true)
}

// receiveRefused applies a refusal that another instance reports, unless the
// request got a response after it, or so shortly before that this instance decides
// for itself.
func (d *Detector) receiveRefused(now, since time.Time, reported RefusedReport) {
	f := reported.Fingerprint
	answeredAt, _ := d.answers.at(f)
	if s := d.suspects[f]; s != nil && s.answeredAt.After(answeredAt) {
		answeredAt = s.answeredAt
	}
	if since.Sub(answeredAt) <= d.rules.KnownGood && d.refused[f] == nil {
		return
	}
	told := &refused{since: since, trials: reported.Trials}
	if reported.TrialInMS != nil {
		told.trialAt = now.Add(time.Duration(*reported.TrialInMS) * time.Millisecond)
	}
	known := d.refused[f]
	switch {
	case known == nil:
		d.refuse(now, f, told, EventTold)
	case told.trials > known.trials:
		known.since, known.trials, known.trialAt = told.since, told.trials, told.trialAt
	}
}
