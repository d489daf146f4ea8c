package attempt

import (
	"errors"
	"fmt"
	"strings"
)

// MaxKeyBytes bounds an idempotency key, in bytes.
const MaxKeyBytes = 255

var errInvalidKey = errors.New("idempotency key")

// ParseKey reads the values of the header Idempotency-Key: one string as in
// RFC 9651, section 3.3.3 (draft-ietf-httpapi-idempotency-key-header), or the
// same without quotes, as many clients send it. It returns "" when there is no
// such header. Errors: more than one value, an empty one, one over MaxKey bytes
// or with bytes other than printable ASCII; such a request can't be told from
// another and is not sent.
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

// unquote takes a quoted string's content; other text stays as it is.
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
