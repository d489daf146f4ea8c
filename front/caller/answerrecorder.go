package caller

import (
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// answerRecorder keeps a copy of a short answer on its way to the caller. When
// the caller is gone it goes on taking the answer, as far as it is kept.
type answerRecorder struct {
	ResponseWriter
	body []byte
	// overflow says that the answer is too long to be kept.
	overflow bool
	// failed is the first failure to write to the caller.
	failed error
}

// Write implements io.Writer. It reports a failure to write to the caller only
// for an answer that is too long to be kept.
func (r *answerRecorder) Write(part []byte) (int, error) {
	if len(r.body)+len(part) > attempt.MaxOutcomeBodyBytes {
		r.overflow = true
		r.body = nil
	}
	if !r.overflow {
		r.body = append(r.body, part...)
	}
	if r.failed == nil {
		_, r.failed = r.ResponseWriter.Write(part)
	}
	if r.failed != nil && r.overflow {
		return 0, r.failed
	}
	return len(part), nil
}

// outcome returns what is to be recorded of a whole answer.
func (r *answerRecorder) outcome() attempt.Outcome {
	o := attempt.Outcome{
		Status:      r.Status(),
		ContentType: r.Header().Get("Content-Type"),
		Complete:    !r.overflow,
	}
	if o.Complete {
		o.Body = r.body
	}
	return o
}
