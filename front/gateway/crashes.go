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
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// crashWatch finds out which requests ran at endpoints when their processes
// ended. A connection may break for other reasons, so the endpoint is dialed
// again: only the address of a process that has ended refuses connections.
type crashWatch struct {
	client *endpoint.Client
	log    logrus.FieldLogger

	mu     sync.Mutex
	broken map[catalog.Incarnation][]crash.Fingerprint // while their endpoints are dialed
}

func newCrashWatch(c *endpoint.Client, log *logrus.Logger) *crashWatch {
	return &crashWatch{client: c, log: log.WithField("prefix", "crashes"), broken: make(map[catalog.Incarnation][]crash.Fingerprint)}
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
func (w *crashWatch) connectionBroke(e catalog.Endpoint, f crash.Fingerprint) {
	in := e.Incarnation()
	w.mu.Lock()
	defer w.mu.Unlock()
	requests, dialing := w.broken[in]
	w.broken[in] = append(requests, f)
	if dialing {
		return
	}
	go w.dial(e, time.Now())
}

// dial dials an endpoint whose connection broke at brokeAt.
func (w *crashWatch) dial(e catalog.Endpoint, brokeAt time.Time) {
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
	}
}

// maxLoggedFingerprints bounds the fingerprints in one log line.
const maxLoggedFingerprints = 20

// fingerprintTexts returns fingerprints for a log line.
func fingerprintTexts(all []crash.Fingerprint) []string {
	texts := make([]string, 0, maxLoggedFingerprints)
	for _, f := range all[:min(len(all), maxLoggedFingerprints)] {
		texts = append(texts, f.String())
	}
	return texts
}
