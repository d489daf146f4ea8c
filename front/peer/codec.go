package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"
)

// discardLog disables the logging of the jsonrpc2 library. Its errors are
// returned to the caller.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// MaxMessageBytes is the maximum size of one message between instances. A
// longer message closes the connection before its body is read.
const MaxMessageBytes = 4 << 20

// lengthBytes is the size of the big-endian length prefix of each message.
const lengthBytes = 4

// MessageTooLongError reports a message that exceeds MaxMessageBytes.
type MessageTooLongError struct {
	// Length is the message's length in bytes.
	Length int
}

// Error implements error.
func (e *MessageTooLongError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds %d bytes", e.Length, MaxMessageBytes)
}

// lengthCodec frames JSON messages with a length prefix. Unlike the codecs of
// the jsonrpc2 library, it rejects a message that is too long before it
// allocates memory for it.
type lengthCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (lengthCodec) WriteObject(w io.Writer, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(body) > MaxMessageBytes {
		return &MessageTooLongError{Length: len(body)}
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (lengthCodec) ReadObject(r *bufio.Reader, v any) error {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > MaxMessageBytes {
		return &MessageTooLongError{Length: int(n)}
	}
	// The buffer grows with what arrives: a length that is only claimed holds no
	// memory.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(n)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	return json.Unmarshal(body.Bytes(), v)
}
