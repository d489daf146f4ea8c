// Package broker gives requests their slots: it asks the instance that hands
// out a group's slots, or is that instance.
//
// The decisions are those of steer/slots. Which instance is a group's broker
// stands in the platform's table; its right to be so lasts as long as its
// member lease.
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
	// minScanInterval is the time between two reads until all brokers are known,
	// and the least time between two reads at all.
	minScanInterval = 100 * time.Millisecond
	// scanTimeout bounds one read or write of the rows.
	scanTimeout = 2 * time.Second
	// tickInterval is the time between two looks at what has lapsed.
	tickInterval = 20 * time.Millisecond
	// reportInterval is the time between two questions for missing reports.
	reportInterval = 100 * time.Millisecond
	// callTimeout bounds a message whose answer nobody waits long for.
	callTimeout = time.Second
)

// Fleet tells who the instances are and how long this instance's rights last.
type Fleet interface {
	// Name is this instance's unique name. It changes when the instance was
	// evicted.
	Name() string
	// ValidUntil is the end of this instance's member lease, on its own clock.
	// While it lies ahead, no other instance takes over what this one holds.
	ValidUntil() time.Time
	// Members lists the instances by name, this one included. An instance
	// that was evicted is not listed.
	Members() []membership.Member
}

// Rows keeps which instance is the broker of which group. brokers.Rows
// implements it.
type Rows interface {
	// Scan reads all rows.
	Scan(ctx context.Context) ([]brokers.Row, error)
	// Write writes a row if its version is still row.Version.
	Write(ctx context.Context, row brokers.Row) error
}

// CurrentDocument gives the document in force, or nil before the first.
type CurrentDocument func() *document.Index

// Service gives requests their slots. It is safe for concurrent use.
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

// ownership is which instance hands out which group's slots, as last read.
type ownership struct {
	rows      map[slots.Group]brokers.Row
	addresses map[string]string // peer address by instance
}

// New returns a service that hands out nothing until Run.
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

// Run keeps up which instance is the broker of which group, and does this
// instance's part, until ctx ends. Reading the rows is apart from the rest, so
// that a table that does not answer holds nothing up.
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

// tickLoop looks at what has lapsed and asks for missing reports.
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

// currentScanInterval returns the time between two reads of the rows, shorter at the
// start.
func (s *Service) currentScanInterval() time.Duration {
	if s.ready.Load() {
		return scanInterval
	}
	return minScanInterval
}

// Ready reports whether every group of the document has had a broker that this
// instance can ask.
func (s *Service) Ready() bool { return s.ready.Load() }

// SetLeaving makes the instance hand its groups to others at the next scans.
func (s *Service) SetLeaving() { s.leaving.Store(true) }

// tick lets the brokers look at what has lapsed.
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

// broadcast sends a message without parameters to every other instance, and looks
// at the rows itself.
func (s *Service) broadcast(method string) {
	for name, address := range s.owners.Load().addresses {
		if name != s.fleet.Name() {
			s.sendAsync(address, method, nil)
		}
	}
	s.requestScan()
}

// sendAsync carries a message whose answer is not needed.
func (s *Service) sendAsync(address, method string, params any) {
	s.pendingMessages.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := s.peers.Call(ctx, address, method, params, nil); err != nil {
			s.log.WithError(err).Debug("Message lost.")
		}
	})
}
