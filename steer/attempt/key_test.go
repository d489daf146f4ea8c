package attempt

import (
	"strings"
	"testing"
)

func TestParseKey(t *testing.T) {
	tests := []struct {
		desc   string
		values []string
		want   string
		bad    bool
	}{
		{"no header", nil, "", false},
		{"a string", []string{`"8e03978e-40d5"`}, "8e03978e-40d5", false},
		{"without quotes", []string{" 8e03978e-40d5 "}, "8e03978e-40d5", false},
		{"escapes", []string{`"a\"b\\c"`}, `a"b\c`, false},
		{"given twice", []string{"a", "b"}, "", true},
		{"empty", []string{""}, "", true},
		{"empty string", []string{`""`}, "", true},
		{"not closed", []string{`"abc`}, "", true},
		{"closed by an escaped quote", []string{`"abc\"`}, "", true},
		{"parameters", []string{`"abc";x=1`}, "", true},
		{"bad escape", []string{`"a\b"`}, "", true},
		{"control byte", []string{"a\x01"}, "", true},
		{"not ASCII", []string{"ü"}, "", true},
		{"longest", []string{strings.Repeat("k", MaxKeyBytes)}, strings.Repeat("k", MaxKeyBytes), false},
		{"too long", []string{strings.Repeat("k", MaxKeyBytes+1)}, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			got, err := ParseKey(tt.values)
			if got != tt.want || (err != nil) != tt.bad {
				t.Fatalf("ParseKey(%q) = %q, %v, want %q, error %v", tt.values, got, err, tt.want, tt.bad)
			}
		})
	}
}

func FuzzParseKey(f *testing.F) {
	f.Add(`"8e03978e-40d5"`)
	f.Add(`plain`)
	f.Add(`"a\"b\\"`)
	f.Fuzz(func(t *testing.T, value string) {
		key, err := ParseKey([]string{value})
		if err != nil {
			return
		}
		if key == "" || len(key) > MaxKeyBytes {
			t.Fatalf("accepted a key of %d bytes", len(key))
		}
		escaped := strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(key)
		again, err := ParseKey([]string{`"` + escaped + `"`})
		if err != nil || again != key {
			t.Fatalf("%q read back as %q, %v", key, again, err)
		}
	})
}
