package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
)

// staleRetryAfter is the Retry-After of an instance whose key data is stale.
const staleRetryAfter = 2 * time.Second

// bearerScheme is the authorization scheme of keys (RFC 6750, 2.1).
const bearerScheme = "Bearer "

// Keys is the stage that authenticates the caller's API key and finds its team.
// The endpoint client removes the key from the headers that it forwards.
type Keys struct {
	keyring  *configuration.Keyring
	inFlight *keyUses
}

// NewKeys returns the stage. Run must be running for the withdrawal of a key to
// cancel its requests in flight.
func NewKeys(ring *configuration.Keyring) *Keys {
	return &Keys{keyring: ring, inFlight: newKeyUses()}
}

// Wrap implements Stage.
func (s *Keys) Wrap(next Handler) Handler {
	return HandlerFunc(func(x *Exchange) error {
		key := bearerKey(x.Request)
		if key != "" && strings.Contains(x.Request.RequestURI, key) {
			return refuseNotRun(http.StatusBadRequest, ReasonKeyInURL)
		}
		if x.Route.Open {
			return next.ServeExchange(x)
		}
		if key == "" {
			return refuseNotRun(http.StatusUnauthorized, ReasonNoKey)
		}
		grant, err := s.keyring.Authenticate(key)
		if err != nil {
			return keyRefusal(err)
		}
		x.Team = grant.Team.Name
		x.Index = grant.Snapshot.Index
		return s.serveWhileKeyValid(x, grant, next)
	})
}

// keyRefusal turns an authentication error into a refusal.
func keyRefusal(err error) *Refusal {
	var refused *configuration.KeyError
	if errors.As(err, &refused) && refused.Reason == configuration.KeyUnknown {
		return refuseNotRun(http.StatusUnauthorized, ReasonUnknownKey)
	}
	refusal := refuseNotRun(http.StatusServiceUnavailable, ReasonStaleKeys)
	refusal.RetryAfter = staleRetryAfter
	return refusal
}

// serveWhileKeyValid serves x and cancels it if its key becomes invalid in the
// meantime.
func (s *Keys) serveWhileKeyValid(x *Exchange, grant *configuration.Grant, next Handler) error {
	ctx, cancel := context.WithCancelCause(x.Context())
	defer cancel(nil)
	x.Request = x.Request.WithContext(ctx)
	s.inFlight.add(x.ID, &keyUse{grant: grant, cancel: cancel})
	defer s.inFlight.remove(x.ID)
	err := next.ServeExchange(x)
	var invalidKey *invalidKeyError
	if err == nil || !errors.As(context.Cause(ctx), &invalidKey) {
		return err
	}
	refusal := &Refusal{Verdict: x.Verdict, Reason: invalidKey.reason, Status: invalidKey.status, Err: err}
	var inner *Refusal
	if errors.As(err, &inner) {
		refusal.Verdict = inner.Verdict
	}
	return refusal
}

// bearerKey returns the API key in the Authorization header of r, or "".
func bearerKey(r *http.Request) string {
	value := r.Header.Get("Authorization")
	if len(value) < len(bearerScheme) || !strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerScheme):])
}
