package caller

import (
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// responseRecorder keeps a copy of a short answer on its way to the caller. When
// the caller is gone it goes on taking the answer, as far as it is kept.
type responseRecorder struct {
	ResponseWriter
	body []byte
	// tooLong says that the answer is too long to be kept.
	tooLong bool
	// writeErr is the first failure to write to the caller.
	writeErr error
}

// Write implements io.Writer. It reports a failure to write to the caller only
// for an answer that is too long to be kept.
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

// outcome returns what is to be recorded of a whole answer.
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
