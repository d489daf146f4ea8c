package admission

import (
	"errors"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func equal(string) float64 { return 1 }

func TestRefusals(t *testing.T) {
	tests := []struct {
		desc   string
		queued int
		item   Item[int]
		free   int
		reason Reason
	}{
		{desc: "free slot", item: Item[int]{Deadline: start.Add(time.Second)}, free: 1},
		{desc: "deadline passed", item: Item[int]{Deadline: start}, free: 1, reason: ReasonDeadline},
		{desc: "deadline inside the service time", item: Item[int]{Deadline: start.Add(DefaultServiceTime / 2)}, free: 1, reason: ReasonDeadline},
		{desc: "wait reaches past the deadline", queued: 10, item: Item[int]{Deadline: start.Add(5 * DefaultServiceTime)}, reason: ReasonDeadline},
		{desc: "wait inside the deadline", queued: 10, item: Item[int]{Deadline: start.Add(20 * DefaultServiceTime)}},
		{
			desc: "wait longer than allowed", queued: 10,
			item: Item[int]{Deadline: start.Add(time.Minute), MaxWait: 3 * DefaultServiceTime}, reason: ReasonWait,
		},
		{desc: "too many of one team", queued: DefaultTeamLimit, item: Item[int]{Deadline: start.Add(time.Hour)}, reason: ReasonFull},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			q := NewQueue[int](equal)
			q.SetSlots(1)
			for i := range tt.queued {
				if err := q.Push(start, Item[int]{Key: i + 1, Deadline: start.Add(time.Hour)}, 0); err != nil {
					t.Fatal(err)
				}
			}
			err := q.Push(start, tt.item, tt.free)
			var refusal *Refusal
			if tt.reason == "" {
				if err != nil {
					t.Errorf("Push = %v, want admitted", err)
				}
				return
			}
			if !errors.As(err, &refusal) || refusal.Reason != tt.reason {
				t.Errorf("Push = %v, want %s", err, tt.reason)
			}
		})
	}
}

func TestPopDropsLateRequests(t *testing.T) {
	q := NewQueue[string](equal)
	q.SetSlots(1)
	for _, item := range []Item[string]{
		{Key: "late", Deadline: start.Add(3 * DefaultServiceTime)},
		{Key: "good", Deadline: start.Add(time.Minute)},
	} {
		if err := q.Push(start, item, 2); err != nil {
			t.Fatal(err)
		}
	}
	next, ok, late := q.Pop(start.Add(3 * DefaultServiceTime))
	if !ok || next.Key != "good" || len(late) != 1 || late[0].Key != "late" || q.Len() != 0 {
		t.Errorf("Pop = %v, %v, expired %v, %d waiting", next, ok, late, q.Len())
	}
}

func TestRemove(t *testing.T) {
	q := NewQueue[int](equal)
	q.SetSlots(1)
	for i := range 3 {
		if err := q.Push(start, Item[int]{Key: i, Deadline: start.Add(time.Minute)}, 0); err != nil {
			t.Fatal(err)
		}
	}
	if !q.Remove(1) || q.Remove(1) || q.Contains(1) {
		t.Error("Remove(1) must succeed once, and the request must not wait afterwards")
	}
	var order []int
	for {
		item, ok, _ := q.Pop(start)
		if !ok {
			break
		}
		order = append(order, item.Key)
	}
	if len(order) != 2 || order[0] != 0 || order[1] != 2 {
		t.Errorf("order = %v, want [0 2]", order)
	}
}
