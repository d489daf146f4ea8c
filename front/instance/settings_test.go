package instance

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/settings"
)

const validSettings = `environment: kano-trial
region: kano
failureDomain: kano-a
callers:
  listen: 127.0.0.11:8080
  url: http://127.0.0.11:8080
peers:
  listen: 127.0.0.11:7080
operators:
  listen: 127.0.0.11:9080
platform:
  url: http://127.0.0.1:7000
  region: kano
stop:
  announce: 10s
`

func TestDecodeSettings(t *testing.T) {
	s, err := DecodeSettings("good.yaml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Stop.Announce.Std() != 10*time.Second || s.Stop.Drain.Std() != defaultDrain {
		t.Errorf("stop = %+v, want 10s and the default", s.Stop)
	}
	if s.Peers.DialTimeout.Std() != defaultDialTimeout || s.Callers.MaxHeader.Bytes() != defaultMaxHeader {
		t.Errorf("defaults are missing: %+v %+v", s.Peers, s.Callers)
	}
}

func TestExampleSettings(t *testing.T) {
	if _, err := ReadSettings("../../examples/instance.yaml"); err != nil {
		t.Error(err)
	}
}

func TestFaultySettings(t *testing.T) {
	tests := []struct {
		desc     string
		old, new string
		line     int
		message  string
	}{
		{"unknown field", "region: kano\nfail", "region: kano\nzone: x\nfail", 3, "zone"},
		{"missing unit", "announce: 10s", "announce: 10", 15, "no unit"},
		{"unknown unit", "announce: 10s", "announce: 10 parsecs", 15, "duration"},
		{"no address", "listen: 127.0.0.11:7080", "listen: here", 8, "hostname_port"},
		{"no URL", "url: http://127.0.0.1:7000", "url: 127.0.0.1:7000", 12, "http_url"},
		{"certificate without key", "listen: 127.0.0.11:7080", "listen: 127.0.0.11:7080\n  certificate: c.pem", 0, "PrivateKey"},
		{"required field left out", "failureDomain: kano-a\n", "", 0, "FailureDomain"},
		{"field given twice", "region: kano\nfail", "region: kano\nregion: kaduna\nfail", 3, "region"},
		{"no YAML", "environment: kano-trial", "environment: [", 1, ""},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			content := strings.Replace(validSettings, tt.old, tt.new, 1)
			if content == validSettings {
				t.Fatal("the replacement did not change the settings")
			}
			_, err := DecodeSettings("bad.yaml", []byte(content))
			var settingsErr *settings.Error
			if !errors.As(err, &settingsErr) {
				t.Fatalf("error = %v, want *settings.Error", err)
			}
			if tt.line != 0 && settingsErr.Line != tt.line || !strings.Contains(settingsErr.Error(), tt.message) {
				t.Errorf("error %q at line %d, want %q at line %d", settingsErr, settingsErr.Line, tt.message, tt.line)
			}
		})
	}
}

func FuzzDecodeSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("environment: [\n"))
	f.Add([]byte("stop: {announce: 1e99h}"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := DecodeSettings("fuzz.yaml", content)
		var settingsErr *settings.Error
		if err != nil && !errors.As(err, &settingsErr) {
			t.Fatalf("error = %T, want *settings.Error", err)
		}
		if err == nil && (s.Environment == "" || s.Platform.URL == "") {
			t.Fatalf("required fields are empty: %+v", s)
		}
	})
}
