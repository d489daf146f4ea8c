package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/peer"
)

// buildBefore holds messages of an earlier build, in which each field is set.
const buildBefore = "testdata/build-132d24b"

// messages are the messages between instances, by the names of their files.
func messages() map[string]any {
	return map[string]any{"report.json": &report{}, "query.json": &tableQuery{}, "response.json": &tableResponse{}}
}

// sample returns a message of the build before.
func sample(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(buildBefore, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// decoded decodes JSON whose objects are maps.
func decoded(t *testing.T, text []byte) any {
	t.Helper()
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		t.Fatal(err)
	}
	return v
}

// fillValue sets each field of a value.
func fillValue(v reflect.Value, next *int64) {
	*next++
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		v.SetBytes([]byte(`{"a":1}`)) // arbitrary bytes are no JSON
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillValue(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() || field.Anonymous {
				fillValue(v.Field(i), next)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillValue(v.Index(0), next)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fillValue(key, next)
		fillValue(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(string(rune('a' + *next%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(*next % 200))
	default:
		v.SetInt(*next)
	}
}

// This build takes over each field that the build before sends.
func TestMessagesOfTheBuildBeforeAreUnderstood(t *testing.T) {
	for name, message := range messages() {
		text := sample(t, name)
		d := json.NewDecoder(strings.NewReader(string(text)))
		d.DisallowUnknownFields()
		if err := d.Decode(message); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		again, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded(t, again), decoded(t, text)) {
			t.Errorf("%s: a field is lost:\n%s", name, again)
		}
	}
}

// The build before finds each field that it knows, with values of the same kind.
func TestBuildBeforeUnderstandsTheseMessages(t *testing.T) {
	for name, message := range messages() {
		next := int64(0)
		fillValue(reflect.ValueOf(message).Elem(), &next)
		text, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		for _, difference := range missing(name, decoded(t, sample(t, name)), decoded(t, text)) {
			t.Error(difference)
		}
	}
}

// missing lists what a message lacks of an earlier one. The names of the entries of a
// map are not compared: those of a map with one entry are taken for its key.
func missing(path string, before, now any) []string {
	if reflect.TypeOf(before) != reflect.TypeOf(now) {
		return []string{fmt.Sprintf("%s: %T, was %T", path, now, before)}
	}
	var all []string
	switch before := before.(type) {
	case map[string]any:
		now := now.(map[string]any)
		for name, value := range before {
			other, ok := now[name]
			if !ok && len(before) == 1 && len(now) == 1 {
				for _, only := range now {
					other, ok = only, true
				}
			}
			if !ok {
				all = append(all, path+"."+name+" is missing")
				continue
			}
			all = append(all, missing(path+"."+name, value, other)...)
		}
	case []any:
		all = missing(path+"[]", before[0], now.([]any)[0])
	}
	return all
}

// Fields that a later build adds are ignored.
func TestFieldsOfALaterBuildAreIgnored(t *testing.T) {
	for name, message := range messages() {
		text := strings.ReplaceAll(string(sample(t, name)), "{\n", "{\n\"zz-later\": {\"a\": [1, {\"b\": null}]},\n")
		if name == "report.json" { // a map of teams has no fields of its own
			text = strings.ReplaceAll(text, "\"q\": {\n\"zz-later\": {\"a\": [1, {\"b\": null}]},\n", "\"q\": {\n")
			text = strings.ReplaceAll(text, "\"k\": {\n\"zz-later\": {\"a\": [1, {\"b\": null}]},\n", "\"k\": {\n")
		}
		if err := json.Unmarshal([]byte(text), message); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		again, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded(t, again), decoded(t, sample(t, name))) {
			t.Errorf("%s: a field is lost:\n%s", name, again)
		}
	}
}

// A call of a method that this build lacks is an error of that call alone.
func TestMethodOfALaterBuildIsRefused(t *testing.T) {
	log := logrus.New()
	log.SetOutput(t.Output())
	s := peer.NewServer(nil, log)
	s.AllowPlainTCP = true
	s.Handle(methodSync, func(context.Context, json.RawMessage) (any, error) { return report{Name: "a"}, nil })
	listener, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, listener) }()
	client := peer.NewClient(nil, peerDialTimeout)
	client.AllowPlainTCP = true
	for range 2 {
		var got report
		if err := client.Call(ctx, listener.Addr().String(), "gateway.later", report{}, &got); err == nil {
			t.Error("an unknown method was served")
		}
		if err := client.Call(ctx, listener.Addr().String(), methodSync, report{}, &got); err != nil || got.Name != "a" {
			t.Errorf("a known method after it: %+v, %v", got, err)
		}
	}
	cancel()
	<-served
}
