// Package trace follows one request through the logs of several instances. It
// selects the lines about the request, sorts them by time and describes the
// attempts and the result in plain sentences.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is a log line of a gateway about a request. Fields that are absent from
// the line are zero.
type Line struct {
	// Time is the instance's wall clock time, in whole seconds.
	Time time.Time `json:"time"`
	// Message is the log message.
	Message string `json:"msg"`
	// Request is the caller's ID of the request.
	Request string `json:"request"`
	// Route and Team are the route and the team of the request.
	Route string `json:"route"`
	Team  string `json:"team"`
	// Catalog is the version of the catalog that was used.
	Catalog string `json:"catalog"`
	// Attempt numbers the attempts of the request, starting at 1.
	Attempt int `json:"try"`
	// Endpoint, Version and Domain say where an attempt was sent.
	Endpoint string `json:"endpoint"`
	Version  string `json:"version"`
	Domain   string `json:"domain"`
	// Warmth is the expected cache state of the object at the endpoint.
	Warmth string `json:"known"`
	// Running is the number of requests known to be running at the endpoint.
	Running int `json:"running"`
	// Service is the service that the route leads to.
	Service string `json:"service"`
	// Candidates, Utilization and QueueWaitMS explain a refusal for lack of
	// capacity: the number of endpoints that could take the request, the share
	// of all slots in use, and the queue wait at the best endpoint.
	Candidates  int     `json:"candidates"`
	Utilization float64 `json:"busy"`
	QueueWaitMS int64   `json:"wait_ms"`
	// ExpectedMS and DurationMS are the expected and the actual duration of an
	// attempt.
	ExpectedMS int64 `json:"expected_ms"`
	DurationMS int64 `json:"ms"`
	// SinceArrivalMS is the time from the arrival of the request to the end of
	// an attempt.
	SinceArrivalMS int64 `json:"since_ms"`
	// Status is the HTTP status of the response.
	Status int `json:"status"`
	// Reason and Verdict are the reason and the verdict of a refusal.
	Reason  string `json:"reason"`
	Verdict string `json:"verdict"`
	// RetryMS is the delay after which the caller may retry.
	RetryMS int64 `json:"retry_ms"`
	// Share and Tokens are the share of the team's quota and the tokens that
	// the instance held.
	Share  float64 `json:"part"`
	Tokens float64 `json:"tokens"`
	// Error is the cause of a failure.
	Error string `json:"error"`

	// Source is the file that contains the line.
	Source string `json:"-"`
}

// endMS returns the time from the request's arrival to the event of the line.
func (l Line) endMS() int64 {
	if l.Reason != "" {
		return l.DurationMS
	}
	return l.SinceArrivalMS
}

// Read returns the lines about a request in one log. Text before the JSON of a
// line, as added by log collectors, is skipped. Errors: those of the reader.
func Read(r io.Reader, source, request string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(request)) {
			continue
		}
		var l Line
		if json.Unmarshal(text[start:], &l) != nil || l.Request != request {
			continue // the ID appears in a line about something else
		}
		l.Source = source
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// Sort sorts lines in the order of their events: by wall clock time, which is
// logged in whole seconds, and then by the time since the request's arrival.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.endMS(), b.endMS()))
	})
}

// Describe returns a sentence that describes the line.
func (l Line) Describe() string {
	var b strings.Builder
	switch {
	case l.Reason != "":
		fmt.Fprintf(&b, "%d ms: answered %d, %s, %s", l.endMS(), l.Status, l.Reason, l.Verdict)
		if l.RetryMS > 0 {
			fmt.Fprintf(&b, ", to come back after %d ms", l.RetryMS)
		}
	default:
		fmt.Fprintf(&b, "%d ms: try %d at %s (%s, %s), object %s, %d requests there: ", l.endMS(), l.Attempt, l.Endpoint, l.Version, l.Domain, l.Warmth, l.Running)
		if l.Status > 0 {
			fmt.Fprintf(&b, "%d ", l.Status)
		}
		fmt.Fprintf(&b, "after %d ms, expected %d", l.DurationMS, l.ExpectedMS)
	}
	if l.Error != "" {
		fmt.Fprintf(&b, " (%s)", l.Error)
	}
	return b.String()
}

// Summarize returns a sentence that describes the result of the request.
func Summarize(lines []Line) string {
	if len(lines) == 0 {
		return "No line: the request reached none of these instances, or its lines were left out."
	}
	last := lines[len(lines)-1]
	where := fmt.Sprintf("route %s, team %s, catalog %s", last.Route, last.Team, last.Catalog)
	switch {
	case last.Reason == "":
		return fmt.Sprintf("Answered with %d by %s after %d ms (%s).", last.Status, last.Endpoint, last.SinceArrivalMS, where)
	case last.Reason == "quota":
		return fmt.Sprintf("Refused: the team had used its quota; this instance held %.3f of it with %.2f tokens left (%s).", last.Share, last.Tokens, where)
	case last.Reason == "too-late" || last.Reason == "no-room":
		return fmt.Sprintf("Refused for lack of room at %s: %.0f %% of the slots were in use, %d endpoints could take it, "+
			"the best after a wait of %d ms with the object %s, its answer after %d ms (%s).",
			last.Service, 100*last.Utilization, last.Candidates, last.QueueWaitMS, cmp.Or(last.Warmth, "unknown"), last.ExpectedMS, where)
	case last.Reason == "no-endpoint":
		return fmt.Sprintf("Refused: no endpoint may serve it (%s).", where)
	case last.Reason == "no-route" || last.Reason == "unknown-key":
		return fmt.Sprintf("Refused: the catalog in force has no such route or key (%s).", where)
	case last.Verdict == "not-run":
		return fmt.Sprintf("Refused, %s, and has not run (%s).", last.Reason, where)
	}
	return fmt.Sprintf("Ended without an answer, %s, and may have run (%s).", last.Reason, where)
}
