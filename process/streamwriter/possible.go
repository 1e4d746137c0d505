package streamwriter

import (
	"maps"
	"slices"
	"time"
)

// Registration is a fact about writers that the platform keeps, so that hosts know it after they
// have all started again: streams may have been begun by a version of a service that is not listed
// any more, or by a service to which a route no longer leads.
type Registration struct {
	Service string
	Version string // of the service's servers; empty: the fact is about Route
	Route   string // that led to the service; empty: the fact is about Version; settledRoute: see there
}

// settledRoute is the Route of the fact that a version has settled: a host has listed it for MaxAge. In
// this form hosts of earlier builds take it for a route that nobody asks for.
const settledRoute = "*"

// SettledVersion returns the fact that a version of a service has settled.
func SettledVersion(service, version string) Registration {
	return Registration{Service: service, Version: version, Route: settledRoute}
}

// IsSettledVersion reports whether the fact is that a version has settled.
func (r Registration) IsSettledVersion() bool { return r.Version != "" && r.Route == settledRoute }

// serviceVersion is a version of the servers of a service.
type serviceVersion = Writer

// routeService is a service to which a route leads.
type routeService struct{ route, service string }

// possibleWriters derives which writers may have begun the streams of each route that can still be
// taken up: those of all services to which the route has led, and of all versions of their servers
// that were listed, within a window. It is not safe for concurrent use.
type possibleWriters struct {
	window     time.Duration
	observedAt time.Time // of the last call of observe
	// versions and services hold when a fact last held.
	versions map[serviceVersion]time.Time
	services map[routeService]time.Time
	// registered holds the platform's registrations, and since when this host knows each; nil before
	// their first list.
	registered map[Registration]time.Time
}

// newPossibleWriters returns a possibleWriters that knows none.
func newPossibleWriters(window time.Duration) *possibleWriters {
	return &possibleWriters{
		window: window, versions: map[serviceVersion]time.Time{}, services: map[routeService]time.Time{},
	}
}

// observe records the services to which each route leads now, and the versions of each service
// that are listed now.
func (p *possibleWriters) observe(now time.Time, services, versions map[string][]string) {
	p.observedAt = now
	for route, list := range services {
		for _, service := range list {
			p.services[routeService{route, service}] = now
		}
	}
	for service, list := range versions {
		for _, version := range list {
			p.versions[serviceVersion{service, version}] = now
		}
	}
	maps.DeleteFunc(p.services, func(_ routeService, at time.Time) bool { return now.Sub(at) > p.window })
	maps.DeleteFunc(p.versions, func(_ serviceVersion, at time.Time) bool { return now.Sub(at) > p.window })
}

// setRegistered replaces the platform's registrations.
func (p *possibleWriters) setRegistered(now time.Time, list []Registration) {
	known := make(map[Registration]time.Time, len(list))
	for _, r := range list {
		known[r] = now
		if since, ok := p.registered[r]; ok {
			known[r] = since
		}
	}
	p.registered = known
}

// byRoute returns the possible writers of each route, sorted.
func (p *possibleWriters) byRoute() map[string][]Writer {
	versions := map[string]map[string]bool{} // by service
	addVersion := func(service, version string) {
		if versions[service] == nil {
			versions[service] = map[string]bool{}
		}
		versions[service][version] = true
	}
	services := maps.Collect(maps.All(p.services))
	for v := range p.versions {
		addVersion(v.Service, v.Version)
	}
	for r := range p.registered {
		if r.IsSettledVersion() {
			continue
		}
		if r.Route != "" {
			services[routeService{r.Route, r.Service}] = time.Time{}
			continue
		}
		addVersion(r.Service, r.Version)
	}
	out := map[string][]Writer{}
	for s := range services {
		for version := range versions[s.service] {
			out[s.route] = append(out[s.route], Writer{s.service, version})
		}
	}
	for _, list := range out {
		slices.SortFunc(list, compareWriters)
	}
	return out
}

// hadAnotherVersion reports whether the service may have had servers of another version within the
// window.
func (p *possibleWriters) hadAnotherVersion(w Writer) bool {
	another := func(v Writer) bool { return v.Service == w.Service && v.Version != w.Version }
	for v := range p.versions {
		if another(v) {
			return true
		}
	}
	for r := range p.registered {
		if r.Route == "" && another(Writer{r.Service, r.Version}) {
			return true
		}
	}
	return false
}

// unregistered returns the facts that the platform should keep and does not: versions of services
// to which routes lead, and services that a route has left within the window.
func (p *possibleWriters) unregistered() []Registration {
	var out []Registration
	add := func(r Registration) {
		if _, ok := p.registered[r]; !ok {
			out = append(out, r)
		}
	}
	used := map[string]bool{}
	for s, at := range p.services {
		used[s.service] = true
		if at.Before(p.observedAt) {
			add(Registration{Service: s.service, Route: s.route})
		}
	}
	for v := range p.versions {
		if used[v.Service] {
			add(Registration{Service: v.Service, Version: v.Version})
		}
	}
	return out
}

// outdated returns the registrations of facts that have not held for the window.
func (p *possibleWriters) outdated(now time.Time) []Registration {
	var out []Registration
	for r, since := range p.registered {
		_, held := p.versions[serviceVersion{r.Service, r.Version}]
		if r.Version == "" {
			_, held = p.services[routeService{r.Route, r.Service}]
		}
		if !held && now.Sub(since) > p.window {
			out = append(out, r)
		}
	}
	return out
}

// knowsService reports whether the platform lists a version of the service.
func (p *possibleWriters) knowsService(service string) bool {
	for r := range p.registered {
		if r.Service == service && r.Route == "" {
			return true
		}
	}
	return false
}

// isRegistered reports whether the platform lists a version, and whether it tells that it has settled.
func (p *possibleWriters) isRegistered(w Writer) (listed, settled bool) {
	_, listed = p.registered[Registration{Service: w.Service, Version: w.Version}]
	_, settled = p.registered[SettledVersion(w.Service, w.Version)]
	return listed, settled
}
