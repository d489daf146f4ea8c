// Package broker grants slots to requests. It requests a slot from the instance
// that is the broker of the slot's group, or is that broker itself.
//
// The decisions are those of steer/slots. The platform's table records which
// instance is the broker of which group. An instance remains a broker only
// while its member lease is valid.
package broker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage/brokers"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/membership"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

const (
	// scanInterval is the time between two reads of the rows.
	scanInterval = time.Second
	// minScanInterval is the minimum time between two reads of the rows, and
	// the interval until all brokers are known.
	minScanInterval = 100 * time.Millisecond
	// scanTimeout bounds one read or write of the rows.
	scanTimeout = 2 * time.Second
	// tickInterval is the time between two checks for expired grants and waits.
	tickInterval = 20 * time.Millisecond
	// reportInterval is the time between two requests for missing reports.
	reportInterval = 100 * time.Millisecond
	// callTimeout bounds a call to a peer, other than a request for a slot.
	callTimeout = time.Second
)

// Fleet provides the instances and the validity of this instance's lease.
type Fleet interface {
	// Name is this instance's unique name. It changes when the instance has
	// been evicted.
	Name() string
	// ValidUntil is the end of this instance's member lease, on its own clock.
	// Until then no other instance takes over the groups of this one.
	ValidUntil() time.Time
	// Members lists the instances by name, including this one. Evicted
	// instances are not listed.
	Members() []membership.Member
}

// Rows stores which instance is the broker of which group. It is implemented by
// brokers.Rows.
type Rows interface {
	// Scan reads all rows.
	Scan(ctx context.Context) ([]brokers.Row, error)
	// Write writes a row if its version is still row.Version.
	Write(ctx context.Context, row brokers.Row) error
}

// CurrentDocument returns the document in force, or nil before the first one.
type CurrentDocument func() *document.Index

// Service grants slots to requests. It is safe for concurrent use.
type Service struct {
	fleet    Fleet
	rows     Rows
	document CurrentDocument
	peers    peer.Caller
	log      logrus.FieldLogger

	holderMu sync.Mutex
	holder   *slots.Holder

	tenuresMu sync.RWMutex
	tenures   map[slots.Group]*tenure

	owners       atomic.Pointer[ownership]
	scanRequests chan struct{}
	leaving      atomic.Bool
	ready        atomic.Bool

	pendingMessages sync.WaitGroup
}

// ownership records which instance is the broker of which group, as last read.
type ownership struct {
	rows      map[slots.Group]brokers.Row
	addresses map[string]string // peer address by instance
}

// New returns a service that grants no slots until Run is called.
func New(f Fleet, r Rows, d CurrentDocument, c peer.Caller, log logrus.FieldLogger) *Service {
	s := &Service{
		fleet: f, rows: r, document: d, peers: c,
		log:          log.WithField("prefix", "broker"),
		holder:       slots.NewHolder(f.Name()),
		tenures:      make(map[slots.Group]*tenure),
		scanRequests: make(chan struct{}, 1),
	}
	s.owners.Store(&ownership{})
	return s
}

// Run tracks the brokers of all groups and performs this instance's work as a
// broker, until ctx ends. Reading the rows has its own loop, so that a table
// that does not respond delays nothing else.
func (s *Service) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { s.scanLoop(ctx) })
	loops.Go(func() { s.tickLoop(ctx) })
	loops.Wait()
	s.closeTenures()
	s.pendingMessages.Wait()
	return nil
}

// scanLoop reads and writes the rows.
func (s *Service) scanLoop(ctx context.Context) {
	ticker := time.NewTicker(minScanInterval)
	defer ticker.Stop()
	var lastScan time.Time
	scanRequested := false
	for {
		if age := time.Since(lastScan); age >= s.currentScanInterval() || scanRequested && age >= minScanInterval {
			s.scan(ctx)
			lastScan = time.Now()
			scanRequested = false
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.scanRequests:
			scanRequested = true
		}
	}
}

// tickLoop checks for expired grants and waits and requests missing reports.
func (s *Service) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastRequested time.Time
	for {
		now := time.Now()
		if now.Sub(lastRequested) >= reportInterval {
			s.requestReports()
			lastRequested = now
		}
		s.tick(now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// currentScanInterval returns the time between two reads of the rows. It is
// shorter until every broker is known.
func (s *Service) currentScanInterval() time.Duration {
	if s.ready.Load() {
		return scanInterval
	}
	return minScanInterval
}

// Ready reports whether a scan has found a broker that this instance can use
// for every group of the document. It stays true from then on.
func (s *Service) Ready() bool { return s.ready.Load() }

// SetLeaving makes the instance hand over its groups at the next scans.
func (s *Service) SetLeaving() { s.leaving.Store(true) }

// tick lets the local brokers and the holder remove what has expired.
func (s *Service) tick(now time.Time) {
	for _, t := range s.allTenures() {
		t.runIfValid(t.broker.Tick)
	}
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	s.holder.RemoveExpired(slots.DefaultGuard, now)
}

// tenure returns the group's tenure if this instance is its broker, or nil.
func (s *Service) tenure(g slots.Group) *tenure {
	s.tenuresMu.RLock()
	defer s.tenuresMu.RUnlock()
	return s.tenures[g]
}

func (s *Service) allTenures() []*tenure {
	s.tenuresMu.RLock()
	defer s.tenuresMu.RUnlock()
	list := make([]*tenure, 0, len(s.tenures))
	for _, t := range s.tenures {
		list = append(list, t)
	}
	return list
}

func (s *Service) closeTenures() {
	for _, t := range s.allTenures() {
		t.close()
	}
}

// requestScan makes Run read the rows soon.
func (s *Service) requestScan() {
	select {
	case s.scanRequests <- struct{}{}:
	default:
	}
}

// broadcast calls a method without parameters on every peer and requests a
// local scan.
func (s *Service) broadcast(method string) {
	for name, address := range s.owners.Load().addresses {
		if name != s.fleet.Name() {
			s.sendAsync(address, method, nil)
		}
	}
	s.requestScan()
}

// sendAsync calls a method in the background. Its result is not needed.
func (s *Service) sendAsync(address, method string, params any) {
	s.pendingMessages.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := s.peers.Call(ctx, address, method, params, nil); err != nil {
			s.log.WithError(err).Debug("Call to a peer failed.")
		}
	})
}
