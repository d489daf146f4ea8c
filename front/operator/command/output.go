package command

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cardamomfront/cardamomfront/front/operator"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
)

// Forms of the output.
const (
	outputText = "text"
	outputJSON = "json"
)

// report is what a command prints.
type report interface {
	// text writes the report for people.
	text(w io.Writer)
}

// print writes a report in the form that was asked for.
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
	// File is the file.
	File string `json:"file"`
	// Environment is the environment that it is for.
	Environment string `json:"environment"`
	// Digest names the document.
	Digest string `json:"digest"`
}

func (r CheckReport) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: ok, environment %s, digest %s\n", r.File, r.Environment, r.Digest)
}

// ChangeReport is the output of the commands that change the document.
type ChangeReport struct {
	// Promotion is the accepted promotion.
	Promotion configuration.Promotion `json:"promotion"`
	// Instances says how far each instance has come.
	Instances []operator.InstanceResult `json:"instances"`
	// Key is the new key, which is shown only now.
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
	// Promotion is the promotion in force; zero when there is none.
	Promotion configuration.Promotion `json:"promotion"`
	// Instances are the listed instances.
	Instances []InstanceStatus `json:"instances"`
}

// InstanceStatus is the status of one instance.
type InstanceStatus struct {
	operator.ListedInstance
	// Status is the instance's answer; absent when it did not answer.
	Status *operator.Status `json:"status,omitempty"`
	// Straggler says that the instance does not follow the generation in
	// force, or does not answer.
	Straggler bool `json:"straggler"`
	// Error is why there is no status.
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
		s.Instance, i.Addr, s.FailureDomain, s.Generation, s.Ready, s.Fresh, s.AgeMillis, s.StoreSilent, mark)
}
