package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/crash"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Times of a crashWatch.
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

// crashWatch finds out which requests ran at endpoints when their processes
// ended. A connection may break for other reasons, so the endpoint is dialed
// again: only the address of a process that has ended refuses connections.
type crashWatch struct {
	detector    *crash.Detector
	client      *endpoint.Client
	placer      *placing.Placer
	reach       *reachWatch
	notifyPeers func() // syncs with the other instances at once
	log         logrus.FieldLogger

	mu     sync.Mutex
	broken map[catalog.Incarnation][]brokenRequest // while their endpoints are dialed
}

// brokenRequest is a request whose connection broke. settle is called once it is
// known whether that counts as a failure of the endpoint's version.
type brokenRequest struct {
	run    crash.Run
	settle func(counts bool)
}

// newCrashWatch returns a watch. newMesh sets notifyPeers.
func newCrashWatch(c *endpoint.Client, p *placing.Placer, reached *reachWatch, log *logrus.Logger) *crashWatch {
	w := &crashWatch{
		client: c, placer: p, reach: reached, notifyPeers: func() {},
		log: log.WithField("prefix", "crashes"), broken: make(map[catalog.Incarnation][]brokenRequest),
	}
	w.detector = crash.New(crash.DefaultRules(), w.logEvent)
	return w
}

// logEvent logs a change of what is believed of a request.
func (w *crashWatch) logEvent(e crash.Event) {
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

// mayHaveCrashed reports whether an attempt ended as it does when the endpoint's
// process ends while the request runs.
func mayHaveCrashed(err error) bool {
	var e *endpoint.Error
	return errors.As(err, &e) && e.Verdict != verdict.NotRun &&
		(e.Reason == endpoint.ReasonBroken || e.Reason == endpoint.ReasonTruncated)
}

// connectionBroke records that a connection broke while a request ran, and finds
// out in the background whether the endpoint's process has ended.
func (w *crashWatch) connectionBroke(e catalog.Endpoint, r brokenRequest) {
	in := e.Incarnation()
	w.mu.Lock()
	defer w.mu.Unlock()
	requests, dialing := w.broken[in]
	w.broken[in] = append(requests, r)
	if !dialing {
		go w.investigate(e, time.Now())
	}
}

// investigate finds out whether an endpoint whose connection broke at brokeAt has
// ended, and settles the requests that ran there.
func (w *crashWatch) investigate(e catalog.Endpoint, brokeAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), endpointDialTimeout)
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
			r.settle(false)
			continue
		}
		w.reach.whenReached(brokeAt, r.settle)
	}
}

// recordEnd records the end of an endpoint and waits until its cause can be told.
func (w *crashWatch) recordEnd(e catalog.Endpoint, at time.Time, requests []brokenRequest) {
	runs := make([]crash.Run, len(requests))
	for i, r := range requests {
		runs[i] = r.run
	}
	w.detector.ObserveEnd(time.Now(), at, e.Incarnation(), runs)
	w.confirmReach(e.Incarnation())
	w.notifyPeers()
	time.Sleep(causeWait)
}

// confirmReach dials other endpoints until one accepts, unless a response has
// shown already that this instance reaches any.
func (w *crashWatch) confirmReach(ended catalog.Incarnation) {
	if !w.detector.Unconfirmed(ended) {
		return
	}
	time.Sleep(reachedElsewhereWait)
	for _, other := range w.placer.SpreadEndpoints(maxReachDials, ended) {
		if !w.detector.Unconfirmed(ended) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), endpointDialTimeout)
		start := time.Now()
		if refuses, err := w.client.Refuses(ctx, targetOf(&other)); err == nil && !refuses {
			w.detector.ObserveReached(time.Now(), start, other.Incarnation())
		}
		cancel()
	}
}

// maxLoggedFingerprints bounds the fingerprints in one log line.
const maxLoggedFingerprints = 20

// fingerprintTexts returns the fingerprints of requests for a log line.
func fingerprintTexts(all []brokenRequest) []string {
	texts := make([]string, 0, maxLoggedFingerprints)
	for _, r := range all[:min(len(all), maxLoggedFingerprints)] {
		texts = append(texts, r.run.Fingerprint.String())
	}
	return texts
}
