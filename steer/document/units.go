package document

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Rate is a number of requests per second. Its text form has a unit: "40/s",
// "90/min" or "600/h".
type Rate float64

// Percent is a share in millionths, so 100% is 1,000,000. Its text form has
// the unit "%" and at most four decimals.
type Percent uint32

// Size is a number of bytes. Its text form has one of the units B, KiB, MiB
// and GiB.
type Size int64

// Duration is a time.Duration in the text form of time.ParseDuration, such as
// "30s".
type Duration time.Duration

// HundredPercent is 100%.
const HundredPercent Percent = 1_000_000

const percentPoint = HundredPercent / 100

// unit is a suffix and the factor that converts it to the base unit.
type unit struct {
	suffix string
	factor float64
}

var (
	rateUnits    = []unit{{"/s", 1}, {"/min", 1.0 / 60}, {"/h", 1.0 / 3600}}
	sizeUnits    = []unit{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}
	percentUnits = []unit{{"%", float64(percentPoint)}}
)

// ParseRate parses text such as "40/s".
func ParseRate(text string) (Rate, error) {
	value, err := parseQuantity(text, rateUnits, "40/s")
	return Rate(value), err
}

// ParsePercent parses text such as "1%". A value over 100% is an error.
func ParsePercent(text string) (Percent, error) {
	value, err := parseQuantity(text, percentUnits, "10%")
	if err != nil {
		return 0, err
	}
	if value > float64(HundredPercent) {
		return 0, fmt.Errorf("%q is over 100%%", text)
	}
	parts := math.Round(value)
	if math.Abs(parts-value) > 1e-6 {
		return 0, fmt.Errorf("%q has more than four decimals", text)
	}
	return Percent(parts), nil
}

// ParseSize parses text such as "16MiB".
func ParseSize(text string) (Size, error) {
	value, err := parseQuantity(text, sizeUnits, "16MiB")
	if err != nil {
		return 0, err
	}
	if value >= math.MaxInt64 {
		return 0, fmt.Errorf("%q is too large", text)
	}
	return Size(value), nil
}

// ParseDuration parses text such as "1m30s". A negative value is an error.
func ParseDuration(text string) (Duration, error) {
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return 0, fmt.Errorf("%q has no unit; write it like %q", text, "30s")
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is no duration; write it like %q", text, "30s")
	}
	if d < 0 {
		return 0, fmt.Errorf("%q is negative", text)
	}
	return Duration(d), nil
}

// parseQuantity parses a number followed by one of the units. Errors show the
// example.
func parseQuantity(text string, units []unit, example string) (float64, error) {
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return 0, fmt.Errorf("%q has no unit; write it like %q", text, example)
	}
	for _, u := range units {
		number, found := strings.CutSuffix(text, u.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
			return 0, fmt.Errorf("%q does not begin with a number; write it like %q", text, example)
		}
		if value < 0 {
			return 0, fmt.Errorf("%q is negative", text)
		}
		return value * u.factor, nil
	}
	return 0, fmt.Errorf("%q has an unknown unit; write it like %q", text, example)
}

// PerSecond returns the rate in requests per second.
func (r Rate) PerSecond() float64 { return float64(r) }

// Fraction returns the share as a number from 0 to 1.
func (p Percent) Fraction() float64 { return float64(p) / float64(HundredPercent) }

// Bytes returns the size in bytes.
func (s Size) Bytes() int64 { return int64(s) }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the form that ParseRate parses.
func (r Rate) String() string {
	return strconv.FormatFloat(float64(r), 'f', -1, 64) + "/s"
}

// String returns the form that ParsePercent parses.
func (p Percent) String() string {
	return strconv.FormatFloat(float64(p)/float64(percentPoint), 'f', -1, 64) + "%"
}

// String returns the form that ParseSize parses, in the largest unit that
// divides the size.
func (s Size) String() string {
	text := strconv.FormatInt(int64(s), 10) + "B"
	for _, u := range sizeUnits[:3] {
		factor := int64(u.factor)
		if s == 0 || int64(s)%factor != 0 {
			break
		}
		text = strconv.FormatInt(int64(s)/factor, 10) + u.suffix
	}
	return text
}

// String returns the form that ParseDuration parses.
func (d Duration) String() string { return time.Duration(d).String() }

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (r *Rate) UnmarshalYAML(node ast.Node) error { return unmarshalUnit(node, r, ParseRate) }

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (p *Percent) UnmarshalYAML(node ast.Node) error { return unmarshalUnit(node, p, ParsePercent) }

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (s *Size) UnmarshalYAML(node ast.Node) error { return unmarshalUnit(node, s, ParseSize) }

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (d *Duration) UnmarshalYAML(node ast.Node) error { return unmarshalUnit(node, d, ParseDuration) }

// MarshalYAML implements yaml.InterfaceMarshaler.
func (r Rate) MarshalYAML() (any, error) { return r.String(), nil }

// MarshalYAML implements yaml.InterfaceMarshaler.
func (p Percent) MarshalYAML() (any, error) { return p.String(), nil }

// MarshalYAML implements yaml.InterfaceMarshaler.
func (s Size) MarshalYAML() (any, error) { return s.String(), nil }

// MarshalYAML implements yaml.InterfaceMarshaler.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

// unmarshalUnit parses a scalar node into dst. Errors are located at the node.
func unmarshalUnit[T any](node ast.Node, dst *T, parse func(string) (T, error)) error {
	scalar, ok := node.(ast.ScalarNode)
	if !ok || node.Type() == ast.NullType {
		return nodeError(node, "a value with a unit is missing here")
	}
	value, err := parse(scalarText(scalar))
	if err != nil {
		return nodeError(node, err.Error())
	}
	*dst = value
	return nil
}

// scalarText returns a scalar as written, without quotes.
func scalarText(node ast.ScalarNode) string {
	if text, ok := node.(*ast.StringNode); ok {
		return text.Value
	}
	return node.GetToken().Value
}
