package gateway

import (
	"errors"
	"time"

	"github.com/cardamomfront/cardamomfront/front/waiting"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/priority"
)

// chooseOrWait reserves an endpoint. A first attempt whose rank has no room at the
// endpoints waits for it. Errors: *placing.Refusal.
func (r *attemptRun) chooseOrWait() (choice *placement, err error) {
	choice, err = r.sender.chooseEndpoint(r.exchange, r.tried)
	var refusal *placing.Refusal
	if r.attempts > 0 || !errors.As(err, &refusal) || !refusal.MayWait {
		return choice, err
	}
	r.waiting = true
	defer func() { r.waiting = false }()
	err = r.sender.room.Wait(r.ctx, waiting.Request{
		Service:     r.service,
		Rank:        r.catalog.RankOf(r.route, r.team),
		LatestStart: priority.LatestStart(r.goalTime(), r.deadline, time.Now(), refusal.Work),
		Start: func() error {
			var err error
			choice, err = r.sender.chooseEndpoint(r.exchange, r.tried)
			var again *placing.Refusal
			if errors.As(err, &again) && again.MayWait {
				return waiting.ErrNoRoom
			}
			return err
		},
	})
	if err == nil || errors.As(err, new(*placing.Refusal)) {
		return choice, err
	}
	return nil, refusalAfterWait(*refusal, err)
}

// refusalAfterWait returns the refusal of a request that has waited in vain.
func refusalAfterWait(r placing.Refusal, err error) *placing.Refusal {
	var refused *waiting.RefusedError
	switch {
	case errors.As(err, &refused):
		r.RetryAfter = refused.RetryAfter
	case errors.Is(err, waiting.ErrClosed):
		r.Reason, r.RetryAfter = placing.Reason(reasonStopping), stoppingRetryAfter
	}
	return &r
}
