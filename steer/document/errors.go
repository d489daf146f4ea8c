package document

import "fmt"

// Error is one fault of a document and its position. Line and column count
// from 1; both are 0 if the fault has no position.
type Error struct {
	// File is the file name given to Decode.
	File string
	// Line is the line of the fault.
	Line int
	// Column is the column of the fault.
	Column int
	// Message describes the fault.
	Message string
}

// Error implements the error interface in the form "file:line:column:
// message".
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}
