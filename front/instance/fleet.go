package instance

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/brokers"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/front/storage/membership"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

// leaseExpiry holds the end of this instance's member lease. Once the lease has
// expired, other instances may take over the slot groups of this one.
type leaseExpiry struct {
	until atomic.Pointer[time.Time]
}

// newLeaseExpiry returns the expiry of a lease that has already expired.
func newLeaseExpiry() *leaseExpiry {
	e := &leaseExpiry{}
	e.until.Store(&time.Time{})
	return e
}

// SetLease implements membership.LeaseListener.
func (e *leaseExpiry) SetLease(until time.Time, _ uint64) { e.until.Store(&until) }

// Reset implements membership.LeaseListener.
func (e *leaseExpiry) Reset(time.Time) { e.until.Store(&time.Time{}) }

// fleetView implements broker.Fleet with the members that the keeper knows and
// the end of this instance's lease.
type fleetView struct {
	*membership.Keeper
	lease *leaseExpiry
}

// ValidUntil implements broker.Fleet.
func (f fleetView) ValidUntil() time.Time { return *f.lease.until.Load() }

func newBroker(s *Settings, k *membership.Keeper, lease *leaseExpiry, table storage.Service, source configuration.Source, c *peer.Client, srv *peer.Server, log *logrus.Logger) *broker.Service {
	currentIndex := func() *document.Index { return source.Current().Index }
	b := broker.New(fleetView{k, lease}, brokers.NewRows(table, s.Environment), currentIndex, c, log)
	b.Register(srv)
	return b
}
