package broker

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// errSuperseded is returned to a broker when this instance has already reported
// to a later one.
var errSuperseded = errors.New("a later broker was answered before")

// Register adds the service's methods to the instance's peer server.
func (s *Service) Register(srv *peer.Server) {
	srv.Handle(methodRequest, s.serveRequest)
	srv.Handle(methodRelease, s.serveRelease)
	srv.Handle(methodReport, s.serveReport)
	srv.Handle(methodRecordGrant, s.serveRecordGrant)
	srv.Handle(methodForgetGrant, s.serveForgetGrant)
	srv.Handle(methodObserve, s.serveObserve)
	srv.Handle(methodScan, s.serveScan)
}

// serveRequest responds once the request is granted a slot or refused.
func (s *Service) serveRequest(ctx context.Context, params json.RawMessage) (any, error) {
	req, err := decode[slots.Request](params)
	if err != nil {
		return nil, err
	}
	return s.requestLocal(ctx, req), nil
}

// requestLocal requests a slot from the local broker.
func (s *Service) requestLocal(ctx context.Context, req slots.Request) requestResult {
	t := s.tenure(req.Group)
	if t == nil || !t.mayGrantTo(req.ID.Instance) {
		return requestResult{Refusal: &refusalMessage{Reason: reasonNoBroker}}
	}
	outcome := t.submit(req)
	if outcome == nil {
		return requestResult{Refusal: &refusalMessage{Reason: reasonNoBroker}}
	}
	select {
	case o := <-outcome:
		if o.Grant == nil {
			return requestResult{Refusal: encodeRefusal(o.Refusal)}
		}
		return requestResult{Grant: o.Grant, Lifetime: min(req.Remaining, t.longestGrant())}
	case <-ctx.Done():
		t.release(releaseParams{Release: slots.Release{ID: req.ID, Group: req.Group}})
		return requestResult{Refusal: &refusalMessage{Reason: reasonEnded}}
	}
}

func (s *Service) serveRelease(_ context.Context, params json.RawMessage) (any, error) {
	r, err := decode[releaseParams](params)
	if err != nil {
		return nil, err
	}
	if t := s.tenure(r.Group); t != nil {
		t.release(r)
	}
	return nil, nil
}

func (s *Service) serveReport(_ context.Context, params json.RawMessage) (any, error) {
	p, err := decode[reportParams](params)
	if err != nil {
		return nil, err
	}
	r, ok := s.report(p)
	if !ok {
		return nil, errSuperseded
	}
	return r, nil
}

func (s *Service) serveRecordGrant(_ context.Context, params json.RawMessage) (any, error) {
	p, err := decode[recordGrantParams](params)
	if err != nil {
		return nil, err
	}
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	if !s.holder.RecordPeerGrant(p.Grant, p.Remaining, time.Now()) {
		return nil, errSuperseded
	}
	return nil, nil
}

func (s *Service) serveForgetGrant(_ context.Context, params json.RawMessage) (any, error) {
	p, err := decode[forgetGrantParams](params)
	if err != nil {
		return nil, err
	}
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	s.holder.ForgetPeerGrant(p.ID)
	return nil, nil
}

func (s *Service) serveScan(context.Context, json.RawMessage) (any, error) {
	s.requestScan()
	return nil, nil
}

func (s *Service) serveObserve(_ context.Context, params json.RawMessage) (any, error) {
	p, err := decode[observeParams](params)
	if err != nil {
		return nil, err
	}
	if t := s.tenure(p.Group); t != nil {
		t.observe(p.Address, p.Outcome)
	}
	return nil, nil
}
