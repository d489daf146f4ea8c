package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"testing"
)

// Guards against an instance that runs out of memory because peers, or others that
// reach its port, claim long messages and send nothing: the bound of a message
// would count for each connection.
func TestClaimedLengthHoldsNoMemory(t *testing.T) {
	const claims = 100
	header := binary.BigEndian.AppendUint32(nil, MaxMessageBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range claims {
		var v any
		r := bufio.NewReader(bytes.NewReader(append(header, '{')))
		if err := (lengthCodec{}).ReadObject(r, &v); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("error %v, want %v", err, io.ErrUnexpectedEOF)
		}
	}
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / claims; got > MaxMessageBytes/16 {
		t.Errorf("%d bytes were allocated for a message that claims %d and has 1", got, MaxMessageBytes)
	}
}
