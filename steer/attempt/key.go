package attempt

import (
	"errors"
	"fmt"
	"strings"
)

// MaxKeyBytes is the longest idempotency key, in bytes.
const MaxKeyBytes = 255

var errInvalidKey = errors.New("idempotency key")

// ParseKey parses the values of the Idempotency-Key header: one string as in
// RFC 9651, section 3.3.3 (draft-ietf-httpapi-idempotency-key-header), or the
// same without quotes, as many clients send it. It returns "" if there is no
// such header. It returns an error for more than one value, an empty key, a
// key over MaxKeyBytes bytes, or bytes other than printable ASCII. Such a key
// can't be told reliably from another, so the request must not be sent.
func ParseKey(values []string) (string, error) {
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", fmt.Errorf("%w: given %d times", errInvalidKey, len(values))
	}
	key, err := unquote(strings.Trim(values[0], " \t"))
	if err != nil {
		return "", err
	}
	if key == "" || len(key) > MaxKeyBytes {
		return "", fmt.Errorf("%w: length %d is not in 1 to %d", errInvalidKey, len(key), MaxKeyBytes)
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return "", fmt.Errorf("%w: byte %d is not printable ASCII", errInvalidKey, i)
		}
	}
	return key, nil
}

// unquote returns the content of a quoted string. Other text is returned as it
// is.
func unquote(text string) (string, error) {
	if !strings.HasPrefix(text, `"`) {
		return text, nil
	}
	var content strings.Builder
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '"':
			if i != len(text)-1 {
				return "", fmt.Errorf("%w: text after the closing quote", errInvalidKey)
			}
			return content.String(), nil
		case '\\':
			i++
			if i == len(text) || text[i] != '"' && text[i] != '\\' {
				return "", fmt.Errorf("%w: bad escape", errInvalidKey)
			}
		}
		content.WriteByte(text[i])
	}
	return "", fmt.Errorf("%w: no closing quote", errInvalidKey)
}
