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

// brokenRows refuses writes while broken is set.
type brokenRows struct {
	*brokers.Rows
	broken bool
}

func (r *brokenRows) Write(ctx context.Context, row brokers.Row) error {
	if r.broken {
		return errors.New("the table is silent")
	}
	return r.Rows.Write(ctx, row)
}

// TestHandOverThatIsNotWritten stops handing out slots for a successor, fails
// to write it, and then has no successor any more: the group must be resumed.
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
	s.scan(ctx) // takes it
	list, err := rows.Scan(ctx)
	if err != nil || len(list) != 1 || s.tenure(testGroup) == nil {
		t.Fatalf("rows %+v, %v", list, err)
	}
	rows.broken = true
	s.handOver(ctx, list[0], "two")
	rows.broken = false
	s.scan(ctx) // resumes the group
	s.scan(ctx) // takes it
	slot, err := s.Acquire(ctx, Request{Group: testGroup, Deadline: time.Now().Add(500 * time.Millisecond)})
	if err != nil {
		t.Fatalf("Acquire = %v, want a slot", err)
	}
	slot.Release(ReleaseInfo{})
	s.pendingMessages.Wait()
}
