package placing

import "time"

// Rules are the limits and weights used to choose endpoints.
type Rules struct {
	// WarmObjects is the number of objects that an endpoint is assumed to keep
	// warm. The smallest memory of the users' endpoints is 21; objects sent by
	// instances of other regions take a part of it.
	WarmObjects int
	// WarmTTL is how long an object is assumed to stay warm. Within that time,
	// objects that are requested less often are evicted by others.
	WarmTTL time.Duration
	// QueueFactor limits the requests at an endpoint to Slots times this. The
	// users' endpoints queue three times their slots and shed the rest.
	QueueFactor float64
	// MaxLoadAge is how long an endpoint's own load report takes precedence
	// over the reports that instances exchange, which are half a second old.
	MaxLoadAge time.Duration
	// WorkTimeHalfLife is the half-life of the weight of an endpoint's report of how
	// long work takes there.
	WorkTimeHalfLife time.Duration
	// TieMargin is the part of a request's work by which scores are near ties, where
	// endpoints report how long work takes.
	TieMargin float64
	// PeerSumHalfLife is the age at which the requests at an endpoint, as known by
	// sums over other instances, count half as much as the mean of its region.
	PeerSumHalfLife time.Duration
	// BusyFrom and BusyTo are the utilizations of a service between which the
	// price of a slot rises from zero to its maximum. Below BusyFrom, a cold
	// endpoint costs only the request's own time; above BusyTo, it also costs
	// the time of the requests that it displaces.
	BusyFrom, BusyTo float64
	// MaxSlotPrice is the maximum price of one second of a slot, in seconds.
	MaxSlotPrice float64
	// ShareWeight is the weight of one request in the shares of requests that
	// only some regions may serve. About the last hundred requests count.
	ShareWeight float64
	// HighRefusalShare is the share of refused requests from which objects
	// count as unknown even at their home, as long as all slots are in use.
	HighRefusalShare float64
	// RefusalWeight is the weight of one request in the share of refused
	// requests. About the last twenty requests of an instance count.
	RefusalWeight float64
	// InitialBackoff is how long an endpoint gets no requests after a failure
	// to connect. Each consecutive failure doubles it, up to MaxBackoff.
	InitialBackoff time.Duration
	// MaxBackoff limits the backoff, so that an endpoint that is back is found
	// within a few seconds.
	MaxBackoff time.Duration
	// ShedBackoff is how long an endpoint gets no requests after it has shed
	// one: about the time until one slot becomes free.
	ShedBackoff time.Duration
	// FailurePenalty is the time added to the score for a certain failure. A
	// failed attempt has to be repeated elsewhere or is lost.
	FailurePenalty time.Duration
	// OutcomeHalfLife is the half-life of an endpoint's slowdown and failures,
	// so that a recovered endpoint gets requests again.
	OutcomeHalfLife time.Duration
	// MaxColdSenders is the maximum number of instances that send to one cold
	// endpoint. Each may start with one request at once, and together these
	// stay below the number of requests beyond the cold rate that any of the
	// users allows.
	MaxColdSenders int
	// ColdSlowdown is the factor by which a cold endpoint is slower.
	ColdSlowdown float64
	// ColdRateShare is the fraction of a cold endpoint's rate that is used.
	// A value below 1 is a margin for instances that disagree about the members
	// of the fleet.
	ColdRateShare float64
	// Pace is whether requests at endpoints that join during traffic or recover are
	// limited by how these answer.
	Pace bool
}

// DefaultRules returns the rules used when none are set.
func DefaultRules() Rules {
	return Rules{
		WarmObjects:      20,
		WarmTTL:          20 * time.Second,
		QueueFactor:      3,
		MaxLoadAge:       300 * time.Millisecond,
		WorkTimeHalfLife: 150 * time.Millisecond,
		TieMargin:        0.05,
		PeerSumHalfLife:  2 * time.Second,
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
