package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"text/template"

	"github.com/cardamomfront/cardamomfront/steer/document"
)

// Keys of the two teams of the test document.
const (
	keyLarge = "large-team-key-000000001"
	keyWard  = "ward-team-key-0000000001"
)

const environment = "e2e"

// testInstance is one entry instance under test.
type testInstance struct {
	*process
	Region        string
	FailureDomain string
	Callers       string
	Peers         string
	Relay         string
	Operators     string
}

// url returns the base address for callers.
func (i *testInstance) url() string { return "http://" + i.Callers }

// testEndpoint is one stand-in endpoint of the test fleet.
type testEndpoint struct {
	*process
	Address       string
	FailureDomain string
	Version       string
}

// fleet is a test fleet: a stand-in platform, endpoints and entry instances.
type fleet struct {
	dir       string
	platform  string
	endpoints []*testEndpoint
	instances []*testInstance
}

// failureDomains are the failure domains of the test fleet: two in each of two
// regions.
var failureDomains = []string{"kano-a", "kaduna-a", "kano-b", "kaduna-b"}

// regionOf returns the region part of a failure domain's name.
func regionOf(domain string) string { return domain[:strings.LastIndexByte(domain, '-')] }

// startFleet starts a stand-in platform and four endpoints of version v1,
// promotes the test document and starts n instances.
func startFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{dir: t.TempDir(), platform: freeAddress(t, "127.0.0.1")}
	start(t, "platform", "cardamomctl", "serve", "platform", "--listen", f.platform)
	for i, d := range failureDomains {
		f.addEndpoint(t, fmt.Sprintf("endpoint-%d", i), d, "v1")
	}
	f.waitForPage(t, f.platform, "/standin/counts")
	f.promote(t, documentOptions{}, 0)
	for i := range n {
		f.addInstance(t, failureDomains[i%len(failureDomains)])
	}
	return f
}

// addEndpoint starts a stand-in endpoint and waits until it responds.
func (f *fleet) addEndpoint(t *testing.T, name, domain, version string, flags ...string) *testEndpoint {
	t.Helper()
	e := &testEndpoint{Address: freeAddress(t, "127.0.0.2"), FailureDomain: domain, Version: version}
	args := append([]string{"serve", "endpoint", "--listen", e.Address, "--name", name, "--version", version}, flags...)
	e.process = start(t, name, "cardamomctl", args...)
	f.endpoints = append(f.endpoints, e)
	f.waitForPage(t, e.Address, "/counts")
	return e
}

// addInstance starts an entry instance and waits until it is ready.
func (f *fleet) addInstance(t *testing.T, domain string) *testInstance {
	t.Helper()
	ip := fmt.Sprintf("127.0.0.%d", 11+len(f.instances))
	i := &testInstance{
		Region:        regionOf(domain),
		FailureDomain: domain,
		Callers:       freeAddress(t, ip),
		Peers:         freeAddress(t, ip),
		Relay:         freeAddress(t, ip),
		Operators:     freeAddress(t, ip),
	}
	file := f.renderFile(t, fmt.Sprintf("instance-%d.yaml", len(f.instances)), settingsTemplate, struct {
		*testInstance
		Platform string
	}{i, f.platform})
	i.process = start(t, "instance "+i.Callers, "cardamomfront", "--settings", file)
	f.instances = append(f.instances, i)
	f.waitForPage(t, i.Operators, "/ready")
	return i
}

// promote promotes a document if the current generation is expected.
func (f *fleet) promote(t *testing.T, o documentOptions, expected int) {
	t.Helper()
	file := f.writeDocument(t, o)
	mustCtl(t, "promote", file, "--expect", fmt.Sprint(expected), "--platform", "http://"+f.platform, "--environment", environment, "--operator", "e2e")
}

// documentOptions holds the settings that vary between the documents of the
// test fleet.
type documentOptions struct {
	// Timeout is the timeout of the read route; empty means 5s.
	Timeout string
	// Extra is appended to the document.
	Extra string
	// WardRate and WardBurst are the rate limit of the ward team. If WardRate is
	// empty, they are 400/s and 400.
	WardRate  string
	WardBurst int
	// WithoutWard omits the ward team's key.
	WithoutWard bool
}

// writeDocument writes a document that lists the fleet's endpoints and returns
// its path.
func (f *fleet) writeDocument(t *testing.T, o documentOptions) string {
	t.Helper()
	if o.Timeout == "" {
		o.Timeout = "5s"
	}
	if o.WardRate == "" {
		o.WardRate, o.WardBurst = "400/s", 400
	}
	return f.renderFile(t, "document.yaml", documentTemplate, struct {
		documentOptions
		Environment             string
		LargeDigest, WardDigest string
		Versions                map[string][]*testEndpoint
	}{o, environment, document.KeyDigest(keyLarge), document.KeyDigest(keyWard), f.endpointsByVersion()})
}

// endpointsByVersion returns the endpoints grouped by version.
func (f *fleet) endpointsByVersion() map[string][]*testEndpoint {
	versions := make(map[string][]*testEndpoint)
	for _, e := range f.endpoints {
		versions[e.Version] = append(versions[e.Version], e)
	}
	return versions
}

// renderFile renders a template to a file in the fleet's folder and returns its
// path.
func (f *fleet) renderFile(t *testing.T, name, text string, data any) string {
	t.Helper()
	file := filepath.Join(f.dir, name)
	w, err := os.Create(file)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if err := template.Must(template.New(name).Parse(text)).Execute(w, data); err != nil {
		t.Fatal(err)
	}
	return file
}

// waitForPage waits until a page responds with status 200.
func (f *fleet) waitForPage(t *testing.T, address, path string) {
	t.Helper()
	eventually(t, "wait for "+address+path, func() error {
		resp, err := http.Get("http://" + address + path)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %s", resp.Status)
		}
		return nil
	})
}

const settingsTemplate = `environment: e2e
region: {{.Region}}
failureDomain: {{.FailureDomain}}
callers:
  listen: {{.Callers}}
  url: http://{{.Callers}}
peers:
  listen: {{.Peers}}
  relay: {{.Relay}}
operators:
  listen: {{.Operators}}
platform:
  url: http://{{.Platform}}
  region: kano
  timeout: 2s
stop:
  announce: 1s
  drain: 30s
log:
  level: debug
`

const documentTemplate = `environment: {{.Environment}}
teams:
  - name: large
    rate: 4000/s
    burst: 4000
    keys: [{id: large-1, digest: "{{.LargeDigest}}"}]
  - name: ward-01
    rate: {{.WardRate}}
    burst: {{.WardBurst}}
{{- if not .WithoutWard}}
    keys: [{id: ward-01-a, digest: "{{.WardDigest}}"}]
{{- end}}
regions:
  - {name: kano, failureDomains: [kano-a, kano-b]}
  - {name: kaduna, failureDomains: [kaduna-a, kaduna-b]}
services:
  - name: tracker
    serving: v1
    versions:
{{- range $version, $endpoints := .Versions}}
      - name: {{$version}}
        endpoints:
{{- range $endpoints}}
          - {address: "{{.Address}}", failureDomain: {{.FailureDomain}}, slots: 16}
{{- end}}
{{- end}}
routes:
  - name: read
    path: /tracker/
    methods: [GET, HEAD]
    service: tracker
    idempotent: true
    timeout: {{.Timeout}}
  - name: book
    path: /tracker/book
    methods: [POST]
    service: tracker
    timeout: 10s
    maxBody: 64MiB
  - name: upload
    path: /tracker/upload
    methods: [PUT]
    service: tracker
    timeout: 60s
    maxBody: 256MiB
  - name: hours
    path: /hours
    methods: [GET]
    service: tracker
    open: true
    idempotent: true
entries: {homes: 2, lifetime: 1s}
{{.Extra}}
`
