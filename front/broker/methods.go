package broker

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// errSuperseded answers messages of a broker that has a successor.
var errSuperseded = errors.New("a later broker was answered before")

// Register adds the methods to the instance's peer server.
func (s *Service) Register(srv *peer.Server) {
	srv.Handle(methodAsk, s.serveAsk)
	srv.Handle(methodRelease, s.serveRelease)
	srv.Handle(methodReport, s.serveReport)
	srv.Handle(methodNote, s.serveNote)
	srv.Handle(methodEndNote, s.serveEndNote)
	srv.Handle(methodObserve, s.serveObserve)
	srv.Handle(methodLook, s.serveLook)
}

// serveAsk answers when the request has its slot or is refused.
func (s *Service) serveAsk(ctx context.Context, params json.RawMessage) (any, error) {
	a, err := decode[slots.Request](params)
	if err != nil {
		return nil, err
	}
	return s.askHere(ctx, a), nil
}

// askHere asks this instance's own broker.
func (s *Service) askHere(ctx context.Context, a slots.Request) askResult {
	l := s.lead(a.Group)
	if l == nil || !l.serves(a.ID.Instance) {
		return askResult{Refusal: &askRefusal{Reason: reasonNoBroker}}
	}
	outcome := l.ask(a)
	if outcome == nil {
		return askResult{Refusal: &askRefusal{Reason: reasonNoBroker}}
	}
	select {
	case o := <-outcome:
		if o.Grant == nil {
			return askResult{Refusal: refusalOf(o.Refusal)}
		}
		return askResult{Grant: o.Grant, Bound: min(a.Remaining, l.longest())}
	case <-ctx.Done():
		l.release(releaseParams{Release: slots.Release{ID: a.ID, Group: a.Group}})
		return askResult{Refusal: &askRefusal{Reason: reasonEnded}}
	}
}

func (s *Service) serveRelease(_ context.Context, params json.RawMessage) (any, error) {
	r, err := decode[releaseParams](params)
	if err != nil {
		return nil, err
	}
	if l := s.lead(r.Group); l != nil {
		l.release(r)
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

func (s *Service) serveNote(_ context.Context, params json.RawMessage) (any, error) {
	p, err := decode[noteParams](params)
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

func (s *Service) serveEndNote(_ context.Context, params json.RawMessage) (any, error) {
	p, err := decode[endNoteParams](params)
	if err != nil {
		return nil, err
	}
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	s.holder.ForgetPeerGrant(p.ID)
	return nil, nil
}

func (s *Service) serveLook(context.Context, json.RawMessage) (any, error) {
	s.look()
	return nil, nil
}

func (s *Service) serveObserve(_ context.Context, params json.RawMessage) (any, error) {
	p, err := decode[observeParams](params)
	if err != nil {
		return nil, err
	}
	if l := s.lead(p.Group); l != nil {
		l.observe(p.Address, p.Outcome)
	}
	return nil, nil
}
