package caller

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
)

// FuzzHeaders sends requests with arbitrary paths and headers. Every response
// must be complete or a refusal with a verdict and a reason, and never a 500.
func FuzzHeaders(f *testing.F) {
	f.Add("/tracker/1", "Bearer "+testKey, "300", "booking-1")
	f.Add("/tracker/%2e%2e/hours", "bearer", "-1", "")
	f.Add("/upload", "Bearer ", "99999999999999999999", "\x00")
	c := &fakeSource{}
	c.setIndex(testIndex(f, true), false)
	s, _ := testServer(f, c, respondOK)
	f.Fuzz(func(t *testing.T, path, authorization, timeout, key string) {
		target, err := url.ParseRequestURI(path)
		if err != nil {
			return
		}
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.URL = target
		r.RequestURI = path
		r.Header = http.Header{"Authorization": {authorization}, HeaderTimeoutMs: {timeout}, HeaderIdempotencyKey: {key}}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code == http.StatusInternalServerError {
			t.Fatalf("%q %q %q %q: got status 500", path, authorization, timeout, key)
		}
		if w.Code != http.StatusOK && (w.Header().Get(HeaderVerdict) == "" || w.Header().Get(HeaderReason) == "") {
			t.Fatalf("status %d without a verdict or reason", w.Code)
		}
	})
}
