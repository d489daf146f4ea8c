package attempt

import (
	"reflect"
	"testing"
)

func TestRecordRoundTrip(t *testing.T) {
	want := Record{
		ID: "1", Holder: "kano-1", State: StateDone, Epoch: 3, RequestDigest: "abc",
		Outcome: &Outcome{Status: 201, ContentType: "application/json", Body: []byte("{}"), Complete: true},
	}
	value, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeRecord(value)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("DecodeRecord = %+v, %v, want %+v", got, err, want)
	}
}

func TestScopedKeysDoNotCollide(t *testing.T) {
	names := []ScopedKey{
		{"ward", "pay", "key"},
		{"war", "dpay", "key"},
		{"ward", "paykey", ""},
		{"ward", "pay", "key2"},
		{"", "ward", "paykey"},
		{"4:ward", "3:pay", "key"},
	}
	seen := make(map[string]ScopedKey)
	for _, name := range names {
		if other, twice := seen[name.Hash()]; twice {
			t.Errorf("%+v and %+v have the same hash", name, other)
		}
		seen[name.Hash()] = name
	}
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"id":"1","state":"running"}`))
	f.Add([]byte(`{"id":"1","state":"done","outcome":{"status":200}}`))
	f.Add([]byte(`{"id":"1","state":"done"}`))
	f.Add([]byte(``))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := DecodeRecord(value)
		if err != nil {
			return
		}
		if r.ID == "" || (r.State == StateDone) != (r.Outcome != nil) {
			t.Fatalf("accepted %+v", r)
		}
	})
}
