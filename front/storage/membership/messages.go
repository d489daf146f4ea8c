package membership

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/membership"
)

// Methods that instances call on each other.
const (
	methodProbe    = "membership.probe"
	methodPromise  = "membership.promise"
	methodReadRows = "membership.look"
)

// Register registers the methods that peers call with server.
func (k *Keeper) Register(server peer.Registry) {
	server.Handle(methodProbe, k.serveProbe)
	server.Handle(methodPromise, k.servePromise)
	server.Handle(methodReadRows, k.serveReadRows)
}

func (k *Keeper) serveProbe(_ context.Context, params json.RawMessage) (any, error) {
	var probe membership.Probe
	if err := json.Unmarshal(params, &probe); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.witness.Answer(time.Now(), probe), nil
}

func (k *Keeper) servePromise(_ context.Context, params json.RawMessage) (any, error) {
	var request membership.PromiseRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.witness.Promise(time.Now(), request), nil
}

func (k *Keeper) serveReadRows(context.Context, json.RawMessage) (any, error) {
	signal(k.readNow)
	return nil, nil
}

// notifyPeers makes this instance and its peers read the rows now.
func (k *Keeper) notifyPeers(ctx context.Context) {
	signal(k.readNow)
	k.callPeers(ctx, k.Peers(), func(ctx context.Context, p configuration.Peer) {
		_ = k.peers.Call(ctx, p.Addr, methodReadRows, nil, nil)
	})
}

// callPeers calls f for all peers concurrently and returns when all calls have
// returned.
func (k *Keeper) callPeers(ctx context.Context, peers []configuration.Peer, f func(context.Context, configuration.Peer)) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range peers {
		group.Go(func() { f(ctx, p) })
	}
	group.Wait()
}

// peerOf returns a member's name, address and failure domain as a peer.
func peerOf(m membership.Member) configuration.Peer {
	return configuration.Peer{Name: m.Name, Addr: m.PeerAddress, FailureDomain: m.FailureDomain}
}

// Peers implements configuration.Directory. It returns the members that are not
// silent, without this instance.
func (k *Keeper) Peers() []configuration.Peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	var peers []configuration.Peer
	for _, m := range k.membersLocked() {
		if m.Process != k.settings.Process && !m.Silent {
			peers = append(peers, peerOf(m))
		}
	}
	return peers
}

// otherMembers returns all members except this one, including silent ones. The
// caller holds k.mu.
func (k *Keeper) otherMembers() []configuration.Peer {
	var peers []configuration.Peer
	for _, m := range k.watch.Members() {
		if m.Name != k.nameLocked() {
			peers = append(peers, peerOf(m))
		}
	}
	return peers
}

// membersByName returns the members with the given names. The caller holds
// k.mu.
func (k *Keeper) membersByName(names []string) []configuration.Peer {
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	var peers []configuration.Peer
	for _, m := range k.watch.Members() {
		if wanted[m.Name] {
			peers = append(peers, peerOf(m))
		}
	}
	return peers
}

// probeMembers probes all other members, among them the witnesses, unless the
// lease was renewed recently. It does not wait for the answers, so that
// unreachable members don't delay the next round.
func (k *Keeper) probeMembers(ctx context.Context) error {
	k.mu.Lock()
	lease, version, holder := k.lease, k.lease.Version(), k.nameLocked()
	recentlyRenewed := time.Since(lease.RenewedAt()) < k.settings.Timing.Lease/2
	others := k.otherMembers()
	k.reachability.setProbing(time.Now(), !recentlyRenewed)
	k.mu.Unlock()
	if version == 0 || recentlyRenewed {
		return nil
	}
	for _, p := range others {
		request := membership.Probe{Holder: holder, Version: version, Witness: p.Name}
		k.probes.Go(func() { k.probeMember(ctx, p, request, lease) })
	}
	return nil
}

// probeMember probes one member. Its answer counts from the time at which the
// probe was sent.
func (k *Keeper) probeMember(ctx context.Context, p configuration.Peer, request membership.Probe, lease *membership.Lease) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sentAt := time.Now()
	var answer membership.ProbeAnswer
	err := k.peers.Call(ctx, p.Addr, methodProbe, request, &answer)
	count(k.meters.probes, err)
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reachability.recordAnswer(p.Name, sentAt)
	if answer.Answered {
		lease.ProbeAnswered(p.Name, request.Version, sentAt)
		k.publishLease()
	}
}

// collectPromises requests promises from a silent holder's witnesses and
// returns the number of promises.
func (k *Keeper) collectPromises(ctx context.Context, candidate membership.EvictionCandidate) int {
	if candidate.PromisesNeeded == 0 {
		return 0
	}
	k.mu.Lock()
	witnesses := k.membersByName(candidate.Witnesses)
	self := k.nameLocked()
	k.mu.Unlock()
	var promised atomic.Int64
	k.callPeers(ctx, witnesses, func(ctx context.Context, p configuration.Peer) {
		request := membership.PromiseRequest{Holder: candidate.Holder, Version: candidate.Version, Witness: p.Name}
		if k.requestPromise(ctx, p, self, request).Promised {
			promised.Add(1)
		}
	})
	return int(promised.Load())
}

func (k *Keeper) requestPromise(ctx context.Context, p configuration.Peer, self string, request membership.PromiseRequest) membership.PromiseAnswer {
	if p.Name == self {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.witness.Promise(time.Now(), request)
	}
	var answer membership.PromiseAnswer
	if err := k.peers.Call(ctx, p.Addr, methodPromise, request, &answer); err != nil {
		return membership.PromiseAnswer{}
	}
	return answer
}
