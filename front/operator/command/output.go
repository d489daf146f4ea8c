package command

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cardamomfront/cardamomfront/front/operator"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// report is the output of a command.
type report interface {
	// text writes the report as text.
	text(w io.Writer)
}

// print writes a report in the selected output format.
func (f *flags) print(w io.Writer, r report) error {
	switch f.output {
	case outputText:
		r.text(w)
		return nil
	case outputJSON:
		return json.NewEncoder(w).Encode(r)
	default:
		return &UsageError{Err: fmt.Errorf("output %q is neither text nor json", f.output)}
	}
}

// CheckReport is the output of "check".
type CheckReport struct {
	// File is the path of the checked file.
	File string `json:"file"`
	// Environment is the environment that the document belongs to.
	Environment string `json:"environment"`
	// Digest is the digest of the document.
	Digest string `json:"digest"`
}

func (r CheckReport) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: ok, environment %s, digest %s\n", r.File, r.Environment, r.Digest)
}

// ChangeReport is the output of the commands that change the document.
type ChangeReport struct {
	// Promotion is the accepted promotion.
	Promotion configuration.Promotion `json:"promotion"`
	// Instances are the results of the rollout for each instance.
	Instances []operator.InstanceResult `json:"instances"`
	// Key is a newly created key. It is not shown again.
	Key string `json:"key,omitempty"`
}

func (r ChangeReport) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "generation %d, digest %s, operation %s\n", r.Promotion.Generation, r.Promotion.Digest, r.Promotion.Operation)
	for _, i := range r.Instances {
		_, _ = fmt.Fprintf(w, "  %s %s: %s, generation %d", i.Name, i.Addr, i.Outcome, i.Generation)
		if i.Error != "" {
			_, _ = fmt.Fprintf(w, " (%s)", i.Error)
		}
		_, _ = fmt.Fprintln(w)
	}
	if r.Key != "" {
		_, _ = fmt.Fprintf(w, "key, shown only now: %s\n", r.Key)
	}
}

// StatusReport is the output of "status".
type StatusReport struct {
	// Promotion is the promotion in force. It is zero if there is none.
	Promotion configuration.Promotion `json:"promotion"`
	// Instances are the known instances.
	Instances []InstanceStatus `json:"instances"`
}

// InstanceStatus is the status of one instance.
type InstanceStatus struct {
	operator.ListedInstance
	// Status is the instance's response, or nil if it did not respond.
	Status *operator.Status `json:"status,omitempty"`
	// Straggler reports whether the instance does not follow the generation in
	// force or did not respond.
	Straggler bool `json:"straggler"`
	// Error is the reason why there is no status.
	Error string `json:"error,omitempty"`
}

func (r StatusReport) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "generation %d, digest %s, by %s\n", r.Promotion.Generation, r.Promotion.Digest, r.Promotion.Operator)
	for _, i := range r.Instances {
		i.text(w)
	}
}

func (i InstanceStatus) text(w io.Writer) {
	mark := ""
	if i.Straggler {
		mark = ", straggler"
	}
	if i.Status == nil {
		_, _ = fmt.Fprintf(w, "  %s %s: no answer%s, generation %d in its row (%s)\n", i.Name, i.Addr, mark, i.RowGeneration, i.Error)
		return
	}
	s := i.Status
	_, _ = fmt.Fprintf(w, "  %s %s: %s, generation %d, ready %v, fresh %v, age %d ms, store silent %v%s\n",
		s.Instance, i.Addr, s.FailureDomain, s.Generation, s.Ready, s.Fresh, s.AgeMillis, s.StoreFailing, mark)
}
