package operator

import (
	"context"
	"errors"

	"github.com/google/uuid"

	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

// maxEditAttempts limits how often an edit is applied again after losing a race
// against another operator's promotion.
const maxEditAttempts = 5

// NoDocumentError is returned if an environment has no document yet.
type NoDocumentError struct {
	// Environment is the name of the environment.
	Environment string
}

// Error implements error.
func (e *NoDocumentError) Error() string {
	return "no document is in force in environment " + e.Environment
}

// AcceptedChange is a change that the store accepted.
type AcceptedChange struct {
	configuration.Promotion
	// Content is the document in force after the change.
	Content []byte
}

// Change applies an edit to the document in force and promotes the result. If
// another operator's promotion comes first, the edit is applied again to the
// newer document. Errors: those of the edit and of Promoter.Promote,
// *NoDocumentError.
func Change(ctx context.Context, p *configuration.Promoter, environment, operator string, edit Edit) (AcceptedChange, error) {
	var err error
	for range maxEditAttempts {
		var changed AcceptedChange
		changed, err = changeOnce(ctx, p, environment, operator, edit)
		var conflict *configuration.ConflictError
		if !errors.As(err, &conflict) {
			return changed, err
		}
	}
	return AcceptedChange{}, err
}

func changeOnce(ctx context.Context, p *configuration.Promoter, environment, operator string, edit Edit) (AcceptedChange, error) {
	current, content, err := p.Current(ctx, environment)
	if err != nil {
		return AcceptedChange{}, err
	}
	if current.Generation == 0 {
		return AcceptedChange{}, &NoDocumentError{Environment: environment}
	}
	doc, err := document.Decode(current.Digest, content)
	if err != nil {
		return AcceptedChange{}, err
	}
	withdrawn, err := edit(doc)
	if err != nil {
		return AcceptedChange{}, err
	}
	if content, err = document.Encode(doc); err != nil {
		return AcceptedChange{}, err
	}
	promotion, err := p.Promote(ctx, configuration.PromotionRequest{
		Environment:        environment,
		ExpectedGeneration: current.Generation,
		File:               "edited document",
		Content:            content,
		Operation:          uuid.NewString(),
		Operator:           operator,
		WithdrawnKeys:      withdrawn,
	})
	return AcceptedChange{Promotion: promotion, Content: content}, err
}
