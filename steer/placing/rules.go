package placing

import "time"

// Rules are the limits and weights of the choice.
type Rules struct {
	// WarmObjects is how many objects an endpoint is taken to remember. The
	// smallest memory of the users' endpoints is 21; objects that instances of
	// other regions send take a part of it.
	WarmObjects int
	// WarmTTL is how long an object is taken to be remembered. An object that
	// is asked for less often is pushed out by others in that time.
	WarmTTL time.Duration
	// QueueFactor bounds the requests at an endpoint to Slots times this.
	// Endpoints of the users queue three times their slots and shed the rest.
	QueueFactor float64
	// MaxLoadAge is how long an endpoint's own word on its requests goes before
	// what the instances tell each other, which is half a second old.
	MaxLoadAge time.Duration
	// BusyFrom and BusyTo are the utilizations of a service between which a
	// second of a slot gets its price. Below, a cold endpoint costs the
	// request's own time only; above, also that of the requests it displaces.
	BusyFrom, BusyTo float64
	// MaxSlotPrice is the most that a second of a slot counts as, in seconds.
	MaxSlotPrice float64
	// ShareWeight is the weight of one request in the shares of the requests
	// that only some regions may serve. About the last hundred count.
	ShareWeight float64
	// HighRefusalShare is the share of refused requests from which an object's home
	// counts as unknown too, as long as all slots are in use.
	HighRefusalShare float64
	// RefusalWeight is the weight of one request in that share. About the last
	// twenty of an instance count.
	RefusalWeight float64
	// InitialBackoff is how long an endpoint gets nothing after a failure to
	// connect. Two failures in a row double it, up to LongestRest.
	InitialBackoff time.Duration
	// MaxBackoff bounds a rest, so that an endpoint that is back is found
	// within a few seconds.
	MaxBackoff time.Duration
	// ShedBackoff is how long an endpoint gets nothing after it has shed a
	// request: about the time in which one slot falls free.
	ShedBackoff time.Duration
	// FailurePenalty is what a certain failure counts as, in time: a try that
	// fails has to be repeated elsewhere or is lost.
	FailurePenalty time.Duration
	// OutcomeHalfLife is the time in which half of what outcomes said of an endpoint is
	// forgotten, so that one that has recovered gets work again.
	OutcomeHalfLife time.Duration
	// MaxColdSenders is how many instances send to one cold endpoint. Each may
	// begin with one request, so the sum of these is below every slack.
	MaxColdSenders int
	// ColdSlowdown is how much longer a cold endpoint works.
	ColdSlowdown float64
	// ColdRateShare is the part of a cold endpoint's rate that is used. Less
	// than the whole leaves room for instances that disagree on the fleet.
	ColdRateShare float64
}

// DefaultRules returns the rules used when none are set.
func DefaultRules() Rules {
	return Rules{
		WarmObjects:      20,
		WarmTTL:          20 * time.Second,
		QueueFactor:      3,
		MaxLoadAge:       300 * time.Millisecond,
		BusyFrom:         0.5,
		BusyTo:           0.9,
		MaxSlotPrice:     3,
		ShareWeight:      0.01,
		HighRefusalShare: 0.2,
		RefusalWeight:    0.05,
		InitialBackoff:   500 * time.Millisecond,
		MaxBackoff:       2 * time.Second,
		ShedBackoff:      150 * time.Millisecond,
		FailurePenalty:   2 * time.Second,
		OutcomeHalfLife:  2 * time.Second,
		MaxColdSenders:   3,
		ColdSlowdown:     2,
		ColdRateShare:    0.9,
	}
}
