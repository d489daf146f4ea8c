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

// right is how long what this instance holds may be used.
type right struct {
	until atomic.Pointer[time.Time]
}

// newRight returns a right that has ended.
func newRight() *right {
	r := &right{}
	r.until.Store(&time.Time{})
	return r
}

// SetLease implements membership.LeaseListener.
func (r *right) SetLease(until time.Time, _ uint64) { r.until.Store(&until) }

// Reset implements membership.LeaseListener.
func (r *right) Reset(time.Time) { r.until.Store(&time.Time{}) }

// fleetView is what the slot brokers see of the fleet.
type fleetView struct {
	*membership.Keeper
	right *right
}

// ValidUntil implements broker.Fleet.
func (f fleetView) ValidUntil() time.Time { return *f.right.until.Load() }

func newBroker(s *Settings, k *membership.Keeper, r *right, table storage.Service, source configuration.Source, c *peer.Client, srv *peer.Server, log *logrus.Logger) *broker.Service {
	inForce := func() *document.Index { return source.Current().Index }
	b := broker.New(fleetView{k, r}, brokers.NewRows(table, s.Environment), inForce, c, log)
	b.Register(srv)
	return b
}
