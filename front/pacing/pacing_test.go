package pacing

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/cardamomfront/cardamomfront/steer/placing"
)

type changes []placing.PaceChange

func (c changes) PaceChanges() []placing.PaceChange { return c }
func (changes) Paced(time.Time) map[string]int      { return nil }

// Guards against a log that floods when all endpoints recover at once.
func TestLinesAreBounded(t *testing.T) {
	logger, hook := test.NewNullLogger()
	c := make(changes, 100)
	c[0].Reached = true
	NewLog(c, logger).logChanges()
	lines := hook.AllEntries()
	if len(lines) != maxLines+1 || lines[maxLines].Data["lines"] != 100-maxLines {
		t.Fatalf("%d lines, the last one %v", len(lines), lines[len(lines)-1].Data)
	}
	if lines[0].Message == lines[1].Message {
		t.Error("an endpoint that reached its pace has the line of one that was set back")
	}
}
