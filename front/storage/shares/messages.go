package shares

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/steer/limit"
	"github.com/cardamomfront/cardamomfront/steer/share"
)

// Methods that instances call on each other.
const (
	methodLoan     = "shares.loan"
	methodReturn   = "shares.return"
	methodHandover = "shares.handover"
)

// Register registers the methods that peers call with server.
func (a *Agent) Register(server peer.Registry) {
	server.Handle(methodLoan, a.serveLoan)
	server.Handle(methodReturn, a.serveReturn)
	server.Handle(methodHandover, a.serveHandover)
}

func (a *Agent) serveLoan(_ context.Context, params json.RawMessage) (any, error) {
	var request limit.LoanRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	a.applyQuotas(a.source.Current().Index)
	loan := a.limiter.GrantLoan(time.Now(), request)
	if loan.Units > 0 {
		countTeam(a.meters.loansGranted, request.Team)
	}
	return loan, nil
}

func (a *Agent) serveReturn(_ context.Context, params json.RawMessage) (any, error) {
	var returned limit.LoanReturn
	if err := json.Unmarshal(params, &returned); err != nil {
		return nil, err
	}
	a.limiter.AcceptReturn(time.Now(), returned)
	return nil, nil
}

func (a *Agent) serveHandover(_ context.Context, params json.RawMessage) (any, error) {
	var h limit.Handover
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, err
	}
	if name, epoch := a.members.Identity(); h.To == name {
		a.limiter.AcceptHandover(time.Now(), epoch, h)
	}
	return nil, nil
}

// sendHandovers notifies the instances that gained units by a written change,
// and passes on the tokens of the transfer.
func (a *Agent) sendHandovers(c *divisionChange, version uint64, self identity) {
	gained := make(map[string]share.Units)
	transferred := make(map[string]share.Units)
	for _, m := range c.moves {
		gained[m.To] += m.Units
		if m.From == self.name {
			transferred[m.To] += m.Units
		}
	}
	for to, units := range gained {
		if to == self.name {
			continue
		}
		h := limit.Handover{Team: c.team, To: to, Version: version, Owned: c.next.UnitsOf(to), Units: units}
		if transferred[to] > 0 {
			h.Tokens = c.transfer.TokensFor(transferred[to])
		}
		a.notify(to, methodHandover, h)
	}
}

// notify sends a message to a member in the background. A failure is only
// logged; the message is not repeated.
func (a *Agent) notify(member, method string, message any) {
	addr := a.peerAddress(member)
	if addr == "" {
		return
	}
	a.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if err := a.peers.Call(ctx, addr, method, message, nil); err != nil {
			a.log.WithError(err).WithField("instance", member).Debug("Failed to send message to peer.")
		}
	})
}

// peerAddress returns the address of a member, or "" if the member is unknown.
func (a *Agent) peerAddress(member string) string {
	for _, m := range a.members.Members() {
		if m.Name == member {
			return m.PeerAddress
		}
	}
	return ""
}
