package document

import "time"

// Defaults of optional fields.
const (
	DefaultTimeout       = Duration(5 * time.Second)
	DefaultMaxBody  Size = 16 << 20
	DefaultWatch         = Duration(10 * time.Minute)
	DefaultHomes         = 2
	DefaultLifetime      = Duration(30 * time.Second)
)

// fillDefaults sets the fields that the document leaves out.
func (d *Document) fillDefaults() {
	for i := range d.Routes {
		orDefault(&d.Routes[i].Timeout, DefaultTimeout)
		orDefault(&d.Routes[i].MaxBody, DefaultMaxBody)
	}
	for i := range d.Shifts {
		orDefault(&d.Shifts[i].Watch, DefaultWatch)
	}
	orDefault(&d.Entries.Homes, DefaultHomes)
	orDefault(&d.Entries.Lifetime, DefaultLifetime)
}

// orDefault sets value to fallback if it is zero.
func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
