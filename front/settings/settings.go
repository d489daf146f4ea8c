// Package settings reads the YAML settings files of processes and validates
// them. Unknown fields are errors. An error names the file and, where known,
// the line and column.
package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/cardamomfront/cardamomfront/steer/document"
)

// Error is an error in a settings file. Its text names file, line and column.
type Error struct {
	// File is the path as given.
	File string
	// Line and Column count from 1. Both are 0 if the position is unknown.
	Line, Column int
	// Message describes the error.
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Read reads a settings file and decodes it as Decode does. Errors: *Error.
func Read(file string, into any) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return &Error{File: file, Message: err.Error()}
	}
	return Decode(file, content, into)
}

// Decode decodes the content of a settings file into the struct that into
// points to, and validates it by its "validate" tags. Fields that the file does
// not set keep their values, which serve as defaults. Errors: *Error.
func Decode(file string, content []byte, into any) error {
	validate := validator.New(validator.WithRequiredStructEnabled())
	if err := yaml.UnmarshalWithOptions(content, into, yaml.Strict(), yaml.Validator(validate)); err != nil {
		return positionedError(file, err)
	}
	// The decoder does not validate fields that an empty file or section leaves
	// unset.
	if err := validate.Struct(into); err != nil {
		return positionedError(file, err)
	}
	return nil
}

// positionedError converts an error of the decoder or validator to an *Error
// with its position in the file, if it has one.
func positionedError(file string, err error) *Error {
	var unitErr *document.Error
	if errors.As(err, &unitErr) {
		return &Error{File: file, Line: unitErr.Line, Column: unitErr.Column, Message: unitErr.Message}
	}
	yamlErr, ok := err.(yaml.Error) //nolint:errorlint // the decoder returns it unwrapped
	if !ok {
		return &Error{File: file, Message: err.Error()}
	}
	e := &Error{File: file, Message: yamlErr.GetMessage()}
	if token := yamlErr.GetToken(); token != nil {
		e.Line = token.Position.Line
		e.Column = token.Position.Column
	}
	return e
}
