package caller

import (
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// responseRecorder copies a short response while it is written to the caller.
// If the caller disconnects, it keeps accepting the response as long as it
// fits.
type responseRecorder struct {
	ResponseWriter
	body []byte
	// tooLong reports whether the response is too long to be recorded.
	tooLong bool
	// writeErr is the first error of a write to the caller.
	writeErr error
}

// Write implements io.Writer. It returns an error of a write to the caller only
// if the response is too long to be recorded.
func (r *responseRecorder) Write(chunk []byte) (int, error) {
	if len(r.body)+len(chunk) > attempt.MaxOutcomeBodyBytes {
		r.tooLong = true
		r.body = nil
	}
	if !r.tooLong {
		r.body = append(r.body, chunk...)
	}
	if r.writeErr == nil {
		_, r.writeErr = r.ResponseWriter.Write(chunk)
	}
	if r.writeErr != nil && r.tooLong {
		return 0, r.writeErr
	}
	return len(chunk), nil
}

// outcome returns the outcome to record for a complete response.
func (r *responseRecorder) outcome() attempt.Outcome {
	o := attempt.Outcome{
		Status:      r.Status(),
		ContentType: r.Header().Get("Content-Type"),
		Complete:    !r.tooLong,
	}
	if o.Complete {
		o.Body = r.body
	}
	return o
}
