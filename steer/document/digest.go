package document

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/goccy/go-yaml"
)

const digestPrefix = "sha256:"

// Digest returns the SHA-256 digest of content: "sha256:" and 64 hexadecimal
// digits.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return digestPrefix + hex.EncodeToString(sum[:])
}

// KeyDigest returns the digest by which a document lists a key. Keys are long
// random strings, so an unsalted digest does not reveal them.
func KeyDigest(key string) string { return Digest([]byte(key)) }

// KeySum is a key's digest in binary form.
type KeySum [sha256.Size]byte

// maxStackKeyLength is the longest key, in bytes, that SumKey digests without
// an allocation.
const maxStackKeyLength = 128

// SumKey returns the digest of a key in binary form.
func SumKey(key string) KeySum {
	var buffer [maxStackKeyLength]byte
	return sha256.Sum256(append(buffer[:0], key...))
}

// parseDigest parses a digest in the form that Digest returns.
func parseDigest(text string) (sum KeySum, ok bool) {
	digits, found := strings.CutPrefix(text, digestPrefix)
	if !found || len(digits) != hex.EncodedLen(len(sum)) || digits != strings.ToLower(digits) {
		return sum, false
	}
	_, err := hex.Decode(sum[:], []byte(digits))
	return sum, err == nil
}

// Encode encodes a document, defaults included, in the form that Decode reads.
// Comments of the original file are not kept.
func Encode(doc *Document) ([]byte, error) {
	return yaml.Marshal(doc)
}
