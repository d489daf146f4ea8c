package broker

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage/brokers"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

// brokenRows fails all writes while broken is set.
type brokenRows struct {
	*brokers.Rows
	broken bool
}

func (r *brokenRows) Write(ctx context.Context, row brokers.Row) error {
	if r.broken {
		return errors.New("table is unavailable")
	}
	return r.Rows.Write(ctx, row)
}

// TestHandOverThatIsNotWritten closes a tenure for a handover whose write
// fails, after which the instance is the preferred broker again. It must resume
// the group.
func TestHandOverThatIsNotWritten(t *testing.T) {
	doc, err := document.Decode("test.yaml", []byte(strings.ReplaceAll(testDocument, "TIMEOUT", "500ms")))
	if err != nil {
		t.Fatal(err)
	}
	index := document.Compile(doc)
	f := &fakeFleet{}
	f.join("one", "127.0.0.1:1")
	rows := &brokenRows{Rows: brokers.NewRows(standin.NewStore(), "test")}
	s := New(&fakeMember{"one", f}, rows, func() *document.Index { return index }, peer.NewClient(nil, time.Second), logrus.New())
	ctx := t.Context()
	s.scan(ctx) // claims the group
	s.scan(ctx) // starts the tenure
	list, err := rows.Scan(ctx)
	if err != nil || len(list) != 1 || s.tenure(testGroup) == nil {
		t.Fatalf("rows %+v, %v", list, err)
	}
	rows.broken = true
	s.handOver(ctx, list[0], "two")
	rows.broken = false
	s.scan(ctx) // writes the next epoch
	s.scan(ctx) // starts the new tenure
	slot, err := s.Acquire(ctx, Request{Group: testGroup, Deadline: time.Now().Add(500 * time.Millisecond)})
	if err != nil {
		t.Fatalf("Acquire = %v, want a slot", err)
	}
	slot.Release(ReleaseInfo{})
	s.pendingMessages.Wait()
}

// Guards against a group that stays closed for the longest timeout because its first broker
// ended right after it had claimed the group.
func TestFirstBrokerEndsAfterItsClaim(t *testing.T) {
	const timeout = 20 * time.Second
	doc, err := document.Decode("test.yaml", []byte(strings.ReplaceAll(testDocument, "TIMEOUT", timeout.String())))
	if err != nil {
		t.Fatal(err)
	}
	index := document.Compile(doc)
	store, f := standin.NewStore(), &fakeFleet{}
	f.join("one", "127.0.0.1:1")
	f.join("two", "127.0.0.1:2")
	newService := func(name string) *Service {
		return New(&fakeMember{name, f}, brokers.NewRows(store, "test"), func() *document.Index { return index }, peer.NewClient(nil, time.Second), logrus.New())
	}
	ctx, first := t.Context(), preferredBroker(testGroup, f.list(), index, false, "one")
	newService(first).scan(ctx)
	f.evict(first)
	second := newService(f.list()[0].Name)
	for range 3 {
		second.scan(ctx) // claims the group, starts the tenure, records the report
		second.requestReports()
		second.pendingMessages.Wait()
	}
	slot, err := second.Acquire(ctx, Request{Group: testGroup, Deadline: time.Now().Add(timeout)})
	if err != nil {
		t.Fatalf("Acquire = %v, want a slot", err)
	}
	slot.Release(ReleaseInfo{})
	second.pendingMessages.Wait()
}
