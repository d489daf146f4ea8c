package document

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// ReservedPath is the path prefix that the instances serve themselves.
const ReservedPath = "/.cardamomfront"

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// services checks services, versions and endpoints.
func (c *checker) services() error {
	services, addresses := firstUses{}, map[netip.AddrPort]bool{}
	for i, service := range c.doc.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		if err := c.unique(services, "service", path+".name", service.Name); err != nil {
			return err
		}
		versions := firstUses{}
		for j, version := range service.Versions {
			at := fmt.Sprintf("%s.versions[%d]", path, j)
			if err := c.unique(versions, "version", at+".name", version.Name); err != nil {
				return err
			}
			if err := c.endpoints(at, version, addresses); err != nil {
				return err
			}
		}
		if _, known := versions[service.Serving]; !known {
			return c.failf(path+".serving", "service %q has no version %q", service.Name, service.Serving)
		}
	}
	return nil
}

// endpoints checks the endpoints of one version. Addresses are unique in the
// document.
func (c *checker) endpoints(versionPath string, version Version, addresses map[netip.AddrPort]bool) error {
	if len(version.Endpoints) == 0 {
		return c.failf(versionPath+".endpoints", "version %q has no endpoint", version.Name)
	}
	for i, endpoint := range version.Endpoints {
		path := fmt.Sprintf("%s.endpoints[%d]", versionPath, i)
		address, err := netip.ParseAddrPort(endpoint.Address)
		if err != nil || address.Port() == 0 {
			return c.failf(path+".address", "%q is no IP address with a port", endpoint.Address)
		}
		if addresses[address] {
			return c.failf(path+".address", "endpoint %s stands twice", endpoint.Address)
		}
		addresses[address] = true
		if c.region[endpoint.FailureDomain] == "" {
			return c.failf(path+".failureDomain", "no region has a failure domain %q", endpoint.FailureDomain)
		}
		if endpoint.Slots < 1 {
			return c.failf(path+".slots", "endpoint %s must have at least 1 slot", endpoint.Address)
		}
	}
	return nil
}

// routes checks routes and that no two of them have the same method and path.
func (c *checker) routes() error {
	routes, routeByKey := firstUses{}, map[routeKey]string{}
	for i, route := range c.doc.Routes {
		path := fmt.Sprintf("$.routes[%d]", i)
		if err := c.unique(routes, "route", path+".name", route.Name); err != nil {
			return err
		}
		if err := c.route(path, route); err != nil {
			return err
		}
		for j, method := range route.Methods {
			key := routeKey{method: method, path: route.Path}
			if other, used := routeByKey[key]; used {
				at := fmt.Sprintf("%s.methods[%d]", path, j)
				return c.failf(at, "route %q overlaps route %q: both match %s %s", route.Name, other, method, route.Path)
			}
			routeByKey[key] = route.Name
		}
	}
	return nil
}

func (c *checker) route(path string, route Route) error {
	if !cleanPath(route.Path) {
		return c.failf(path+".path", "%q is no clean path that starts with /", route.Path)
	}
	if route.Path == ReservedPath || strings.HasPrefix(route.Path, ReservedPath+"/") {
		return c.failf(path+".path", "paths under %s are reserved", ReservedPath)
	}
	if len(route.Methods) == 0 {
		return c.failf(path+".methods", "route %q has no method", route.Name)
	}
	for j, method := range route.Methods {
		if !slices.Contains(methods, method) {
			at := fmt.Sprintf("%s.methods[%d]", path, j)
			return c.failf(at, "%q is none of the methods %s", method, strings.Join(methods, ", "))
		}
	}
	if c.doc.service(route.Service) == nil {
		return c.failf(path+".service", "there is no service %q", route.Service)
	}
	return nil
}

// service returns the named service, or nil.
func (d *Document) service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// version returns the named version, or nil.
func (s *Service) version(name string) *Version {
	for i := range s.Versions {
		if s.Versions[i].Name == name {
			return &s.Versions[i]
		}
	}
	return nil
}
