package document

// Index provides look-ups in a document. It is immutable and safe for
// concurrent use; look-ups do not allocate.
type Index struct {
	doc      *Document
	routes   map[routeKey]*Route
	keys     map[KeySum]*Team
	teams    map[string]*Team
	services map[string]*Service
	versions map[versionKey]*Version
	shifts   map[string]*Shift
	drains   map[string]*Drain
	regions  map[string]string
}

type routeKey struct {
	method string
	path   string
}

type versionKey struct {
	service string
	version string
}

// Compile builds the index of a document that Decode returned. The document
// must not be changed afterwards.
func Compile(doc *Document) *Index {
	x := &Index{
		doc:      doc,
		routes:   map[routeKey]*Route{},
		keys:     map[KeySum]*Team{},
		teams:    map[string]*Team{},
		services: map[string]*Service{},
		versions: map[versionKey]*Version{},
		shifts:   map[string]*Shift{},
		drains:   map[string]*Drain{},
		regions:  map[string]string{},
	}
	x.addTeams()
	x.addRegions()
	x.addServices()
	x.addRoutes()
	return x
}

func (x *Index) addTeams() {
	for i := range x.doc.Teams {
		team := &x.doc.Teams[i]
		x.teams[team.Name] = team
		for _, key := range team.Keys {
			if sum, ok := parseDigest(key.Digest); ok {
				x.keys[sum] = team
			}
		}
	}
}

func (x *Index) addRegions() {
	for _, region := range x.doc.Regions {
		for _, domain := range region.FailureDomains {
			x.regions[domain] = region.Name
		}
	}
	for i := range x.doc.Drains {
		drain := &x.doc.Drains[i]
		x.drains[drain.Region] = drain
	}
}

func (x *Index) addServices() {
	for i := range x.doc.Services {
		service := &x.doc.Services[i]
		x.services[service.Name] = service
		for j := range service.Versions {
			version := &service.Versions[j]
			x.versions[versionKey{service.Name, version.Name}] = version
		}
	}
	for i := range x.doc.Shifts {
		shift := &x.doc.Shifts[i]
		x.shifts[shift.Service] = shift
	}
}

func (x *Index) addRoutes() {
	for i := range x.doc.Routes {
		route := &x.doc.Routes[i]
		for _, method := range route.Methods {
			x.routes[routeKey{method: method, path: route.Path}] = route
		}
	}
}

// Document returns the document. It must not be changed.
func (x *Index) Document() *Document { return x.doc }

// Route returns the matching route with the longest path, or nil. The path is
// the decoded path of the request's URL. A path that is not clean (empty, "."
// or ".." segments, a remaining percent sign, a backslash) matches no route.
func (x *Index) Route(method, path string) *Route {
	if !cleanPath(path) {
		return nil
	}
	for prefix := path; prefix != ""; prefix = shorterPrefix(prefix) {
		if route := x.routes[routeKey{method: method, path: prefix}]; route != nil {
			return route
		}
	}
	return nil
}

// TeamByKeyDigest returns the team that owns the key with the given digest, or
// nil.
func (x *Index) TeamByKeyDigest(keyDigest string) *Team {
	sum, ok := parseDigest(keyDigest)
	if !ok {
		return nil
	}
	return x.keys[sum]
}

// TeamByKey returns the team that owns a key, or nil.
func (x *Index) TeamByKey(key string) *Team { return x.keys[SumKey(key)] }

// TeamByKeySum returns the team that owns the key with the given SumKey, or
// nil.
func (x *Index) TeamByKeySum(sum KeySum) *Team { return x.keys[sum] }

// TeamByName returns the named team, or nil.
func (x *Index) TeamByName(name string) *Team { return x.teams[name] }

// Service returns the named service, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Version returns the named version of a service, or nil.
func (x *Index) Version(service, version string) *Version {
	return x.versions[versionKey{service, version}]
}

// Shift returns the shift of a service, or nil.
func (x *Index) Shift(service string) *Shift { return x.shifts[service] }

// Drain returns the drain of a region, or nil.
func (x *Index) Drain(region string) *Drain { return x.drains[region] }

// Region returns the region of a failure domain, or "" if there is none.
func (x *Index) Region(failureDomain string) string { return x.regions[failureDomain] }
