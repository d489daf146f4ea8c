package document

import (
	"errors"
	"os"
	"testing"
)

// FuzzDecode passes arbitrary bytes to Decode. Every fault must be an *Error,
// and an accepted document must be accepted again after Encode.
func FuzzDecode(f *testing.F) {
	for _, file := range []string{"testdata/small.yaml", "../../examples/kano.yaml"} {
		content, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		doc, err := Decode("fuzz.yaml", content)
		if err != nil {
			var fault *Error
			if !errors.As(err, &fault) || fault.File != "fuzz.yaml" || fault.Message == "" {
				t.Fatalf("err = %#v, want a complete *Error", err)
			}
			return
		}
		x := Compile(doc)
		for _, route := range doc.Routes {
			if x.Route(route.Methods[0], route.Path) == nil {
				t.Fatalf("route %q does not match its own path %q", route.Name, route.Path)
			}
		}
		encoded, err := Encode(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode("encoded.yaml", encoded); err != nil {
			t.Fatalf("%v\n%s", err, encoded)
		}
	})
}
