// Package crashes finds out which requests ran at endpoints whose processes ended,
// and whether a failed request counts as a failure of its endpoint's version. The
// decisions are those of steer/crash.
package crashes

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/reachability"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/crash"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Times of a Watch.
const (
	// reachedElsewhereWait is how long a response of another endpoint is waited
	// for before one is dialed.
	reachedElsewhereWait = 50 * time.Millisecond
	// maxReachDials is how many other endpoints are dialed to find out whether this
	// instance reaches any.
	maxReachDials = 3
	// causeWait is how long after an endpoint has ended it is decided whether a
	// request was the cause: by then the other instances have reported what ran
	// there.
	causeWait = 1500 * time.Millisecond
)

// Watch finds out which requests ran at endpoints when their processes
// ended. A connection may break for other reasons, so the endpoint is dialed
// again: only the address of a process that has ended refuses connections.
// It is safe for concurrent use.
type Watch struct {
	detector    *crash.Detector
	client      *endpoint.Client
	placer      *placing.Placer
	reach       *reachability.Watch
	dialTimeout time.Duration
	notifyPeers func() // syncs with the other instances at once
	log         logrus.FieldLogger

	mu     sync.Mutex
	broken map[catalog.Incarnation][]Request // while their endpoints are dialed
}

// Request is a request whose connection broke.
type Request struct {
	// Run identifies the request.
	Run crash.Run
	// Settle is called once it is known whether the request counts as a failure of
	// the endpoint's version.
	Settle func(counts bool)
}

// New returns a watch. dialTimeout bounds the dial of an endpoint.
func New(c *endpoint.Client, p *placing.Placer, reached *reachability.Watch, dialTimeout time.Duration, log *logrus.Logger) *Watch {
	w := &Watch{
		client: c, placer: p, reach: reached, dialTimeout: dialTimeout, notifyPeers: func() {},
		log: log.WithField("prefix", "crashes"), broken: make(map[catalog.Incarnation][]Request),
	}
	w.detector = crash.New(crash.DefaultRules(), w.logEvent)
	return w
}

// SetNotifyPeers sets the function that syncs with the other instances at once. It
// must not be called after the first ConnectionBroke.
func (w *Watch) SetNotifyPeers(f func()) { w.notifyPeers = f }

// Detector returns the detector that decides which requests are refused.
func (w *Watch) Detector() *crash.Detector { return w.detector }

// logEvent logs a change of what is believed of a request.
func (w *Watch) logEvent(e crash.Event) {
	log := w.log.WithFields(logrus.Fields{"fingerprint": e.Fingerprint.String(), "endpoints": e.Endpoints, "trials": e.Trials})
	switch e.Kind {
	case crash.EventRefused:
		log.Warn("Request crashes endpoints, it is refused from now on.")
	case crash.EventTold:
		log.Warn("Request crashes endpoints as another instance reports, it is refused from now on.")
	case crash.EventTrial:
		log.Info("Refused request is tried once.")
	case crash.EventCleared:
		log.Info("Refused request got a response, it is no longer refused.")
	}
}

// MayHaveCrashed reports whether an attempt ended as it does when the endpoint's
// process ends while the request runs.
func MayHaveCrashed(err error) bool {
	var e *endpoint.Error
	return errors.As(err, &e) && e.Verdict != verdict.NotRun &&
		(e.Reason == endpoint.ReasonBroken || e.Reason == endpoint.ReasonTruncated)
}

// ConnectionBroke records that a connection broke while a request ran, and finds
// out in the background whether the endpoint's process has ended.
func (w *Watch) ConnectionBroke(e catalog.Endpoint, r Request) {
	in := e.Incarnation()
	w.mu.Lock()
	defer w.mu.Unlock()
	requests, dialing := w.broken[in]
	w.broken[in] = append(requests, r)
	if !dialing {
		go w.investigate(e, time.Now())
	}
}

// NoResponse records that a request got no response and that its connection did not
// break while it ran. settle is called once it is known whether the request counts
// as a failure of the endpoint's version.
func (w *Watch) NoResponse(at time.Time, settle func(counts bool)) { w.reach.WhenReached(at, settle) }

// investigate finds out whether an endpoint whose connection broke at brokeAt has
// ended, and settles the requests that ran there.
func (w *Watch) investigate(e catalog.Endpoint, brokeAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), w.dialTimeout)
	defer cancel()
	ended, err := w.client.Refuses(ctx, targetOf(&e))
	w.mu.Lock()
	requests := w.broken[e.Incarnation()]
	delete(w.broken, e.Incarnation())
	w.mu.Unlock()
	log := w.log.WithFields(logrus.Fields{
		"endpoint": e.ID, "service": e.Service, "requests": len(requests), "since_ms": time.Since(brokeAt).Milliseconds(),
	})
	switch {
	case err != nil:
		log.WithError(err).Info("Connections to an endpoint broke, it does not answer a new one.")
	case !ended:
		log.Info("Connections to an endpoint broke, it accepts new ones.")
	default:
		log.WithField("fingerprints", fingerprintTexts(requests)).Info("Endpoint ended while requests ran there.")
		w.recordEnd(e, brokeAt, requests)
	}
	caused := ended && w.detector.CausedBySuspect(time.Now(), e.Incarnation())
	for _, r := range requests {
		if caused {
			r.Settle(false)
			continue
		}
		w.reach.WhenReached(brokeAt, r.Settle)
	}
}

// recordEnd records the end of an endpoint and waits until its cause can be told.
func (w *Watch) recordEnd(e catalog.Endpoint, at time.Time, requests []Request) {
	runs := make([]crash.Run, len(requests))
	for i, r := range requests {
		runs[i] = r.Run
	}
	w.detector.ObserveEnd(time.Now(), at, e.Incarnation(), runs)
	w.confirmReach(e.Incarnation())
	w.notifyPeers()
	time.Sleep(causeWait)
}

// confirmReach dials other endpoints until one accepts, unless a response has
// shown already that this instance reaches any.
func (w *Watch) confirmReach(ended catalog.Incarnation) {
	if !w.detector.Unconfirmed(ended) {
		return
	}
	time.Sleep(reachedElsewhereWait)
	for _, other := range w.placer.SpreadEndpoints(maxReachDials, ended) {
		if !w.detector.Unconfirmed(ended) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), w.dialTimeout)
		start := time.Now()
		if refuses, err := w.client.Refuses(ctx, targetOf(&other)); err == nil && !refuses {
			w.detector.ObserveReached(time.Now(), start, other.Incarnation())
		}
		cancel()
	}
}

// targetOf returns the client's target for an endpoint.
func targetOf(e *catalog.Endpoint) endpoint.Target {
	return endpoint.Target{Address: e.Address, Incarnation: e.ID}
}

// maxLoggedFingerprints bounds the fingerprints in one log line.
const maxLoggedFingerprints = 20

// fingerprintTexts returns the fingerprints of requests for a log line.
func fingerprintTexts(all []Request) []string {
	texts := make([]string, 0, maxLoggedFingerprints)
	for _, r := range all[:min(len(all), maxLoggedFingerprints)] {
		texts = append(texts, r.Run.Fingerprint.String())
	}
	return texts
}
