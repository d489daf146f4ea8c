package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cardamomfront/cardamomfront/platform/standin"
)

// Figures of the case.
const (
	rolloutTime = 16 * time.Second
	// copyAge is how old the copy is from which the store comes back.
	copyAge = 3 * time.Second
	// awayTime is how long the store is away before that.
	awayTime = 500 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = time.Second
	// withdrawDelay is when the new targets leave after a rollout was rolled back.
	withdrawDelay = 4 * time.Second
	recoverTime   = 15 * time.Second
	measureTime   = 15 * time.Second
	newVersion    = "v2"
)

// rolledOut are the services that move to the new version.
var rolledOut = []string{"tracker", "ledger"}

// span counts the requests that were sent in a span of time.
type span struct {
	mu           sync.Mutex
	begin, end   time.Time
	sent, served int
}

func (s *span) observe(sentAt time.Time, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sentAt.Before(s.begin) || !s.end.IsZero() && sentAt.After(s.end) {
		return
	}
	s.sent++
	if status == http.StatusOK {
		s.served++
	}
}

func (s *span) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d of %d requests served", s.served, s.sent)
}

// share returns the share of the requests that were served.
func (s *span) share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == 0 {
		return 0
	}
	return float64(s.served) / float64(s.sent)
}

// operator plays the operator and the platform of the rollouts: it stops the old targets
// once a rollout is completed, and lets the new ones leave once it is rolled back.
type operator struct {
	game   *game
	mu     sync.Mutex
	states map[string]string // by service
}

// watch acts on the states until ctx ends.
func (o *operator) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, service := range rolledOut {
			row, _ := o.game.store.Get("status", "rollout/"+service)
			state := ""
			for _, s := range []string{wire.Running, wire.Completed, wire.RolledBack} {
				if strings.Contains(string(row.Value), `"`+s+`"`) {
					state = s
				}
			}
			o.act(service, state)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// act acts on the state of a service's rollout.
func (o *operator) act(service, state string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if state == o.states[service] {
		return
	}
	o.game.record.printf("status of %s: %q, was %q", service, state, o.states[service])
	o.states[service] = state
	for _, t := range o.game.targets {
		switch {
		case t.service != service:
		case state == wire.Completed && t.version != newVersion:
			t.stop()
		case state == wire.RolledBack && t.version == newVersion:
			time.AfterFunc(withdrawDelay, t.drain)
		}
	}
}

// completed reports whether all rollouts are completed.
func (o *operator) completed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, service := range rolledOut {
		if o.states[service] != wire.Completed {
			return false
		}
	}
	return true
}

// history remembers how many changes the store had.
type history struct {
	mu      sync.Mutex
	changes []int // each tenth of a second, the latest last
}

func (h *history) watch(ctx context.Context, s *standin.Store) {
	for ctx.Err() == nil {
		h.mu.Lock()
		h.changes = append(h.changes, s.Changes())
		h.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// since returns the number of changes in the latest span of time.
func (h *history) since(d time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	latest := len(h.changes) - 1
	return h.changes[latest] - h.changes[max(0, latest-int(d/(100*time.Millisecond)))]
}

// playRestore moves two services to a new, sound version. Right after both rollouts are
// completed, the store comes back from a copy, and all gateways are killed and start
// again. TROUBLE=restore and TROUBLE=kill play one of the two alone.
func (g *game) playRestore(trouble string) int {
	before, after := &span{}, &span{}
	after.begin = time.Now().Add(time.Hour)
	before.begin = time.Now().Add(3 * time.Second)
	g.observe = func(sentAt time.Time, status int) {
		before.observe(sentAt, status)
		after.observe(sentAt, status)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for _, c := range classes {
		clients.Go(func() { g.send(ctx, &clients, c) })
	}
	o := &operator{game: g, states: make(map[string]string)}
	h := &history{}
	go h.watch(ctx, g.store)
	go o.watch(ctx)
	time.Sleep(2 * time.Second)
	if err := g.order(); err != nil {
		g.record.printf("not run: %v", err)
		return exitNotRun
	}
	for end := time.Now().Add(rolloutTime + time.Second); !o.completed(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			g.record.printf("not run: the rollouts were not completed")
			return exitNotRun
		}
	}
	time.Sleep(500 * time.Millisecond)
	before.mu.Lock()
	before.end = time.Now()
	before.mu.Unlock()
	if trouble != "0" {
		if err := g.strike(h, trouble); err != nil {
			g.record.printf("not run: %v", err)
			return exitNotRun
		}
	}
	g.record.printf("all gateways are back")
	time.Sleep(recoverTime)
	after.mu.Lock()
	after.begin = time.Now()
	after.mu.Unlock()
	time.Sleep(measureTime)
	cancel()
	clients.Wait()
	g.record.printf("before: %s", before)
	g.record.printf("later than %v after the gateways were back: %s", recoverTime, after)
	if before.share() >= 0.25 && after.share() < 0.25 {
		g.record.printf("RECOVER is broken")
		return exitBroken
	}
	g.record.printf("RECOVER holds")
	return exitHeld
}

// order starts the targets of the new version beside the old ones and orders the rollouts.
func (g *game) order() error {
	for _, c := range classes {
		for i := range c.targets {
			if c.service != rolledOut[0] && c.service != rolledOut[1] {
				break
			}
			t, err := startTarget(g.store, fmt.Sprintf("127.0.52.%d", i+1), fmt.Sprintf("i-%s-%s-%d", c.service, newVersion, i), c.service, zones[i%len(zones)], newVersion, &g.extras)
			if err != nil {
				return err
			}
			g.targets = append(g.targets, t)
		}
	}
	time.Sleep(time.Second)
	for _, service := range rolledOut {
		if err := g.store.Set("op", "rollout/"+service, map[string]any{"service": service, "to": newVersion, "durationS": rolloutTime.Seconds()}); err != nil {
			return err
		}
		g.record.printf("rollout of %s to %s ordered", service, newVersion)
	}
	return nil
}

// strike brings the store back from a copy and kills all gateways, as trouble says.
func (g *game) strike(h *history, trouble string) error {
	lost := h.since(copyAge)
	if trouble != "restore" {
		g.record.printf("all gateways are killed")
		for _, gw := range g.gateways {
			_ = gw.cmd.Process.Signal(syscall.SIGKILL)
			<-gw.done
		}
	}
	if trouble != "kill" {
		g.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
		time.Sleep(awayTime)
		g.store.Restore(lost)
		g.store.SetFaults(standin.Faults{})
		g.record.printf("the store is back from a copy without the last %d changes, %v old", lost, copyAge)
	}
	if trouble == "restore" {
		return nil
	}
	time.Sleep(restartDelay)
	for _, gw := range g.gateways {
		if err := gw.start(g.binary); err != nil {
			return err
		}
	}
	for _, gw := range g.gateways {
		if !gw.waitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready again", gw.name)
		}
	}
	return nil
}
