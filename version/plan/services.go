package plan

// Services are the services of a plan, and how its routes use them. It is immutable and refers to no
// route: a request keeps it until its end, and a plan that was replaced meanwhile leaves the memory.
type Services struct {
	byName map[string]*Service
	uses   map[string]use // by service name
}

// use is how the routes of a plan use a service.
type use struct {
	mostUrgent int  // priority of the most urgent route
	streams    bool // a route of streams leads to the service
}

// newServices returns the services of a configuration, each a copy of its own.
func newServices(c Config) *Services {
	s := &Services{byName: make(map[string]*Service, len(c.Services)), uses: map[string]use{}}
	for _, service := range c.Services {
		s.byName[service.Name] = &service
	}
	for i := range c.Routes {
		s.addUses(&c.Routes[i])
	}
	return s
}

// addUses records how a route uses its services.
func (s *Services) addUses(r *Route) {
	for _, t := range r.Targets {
		u, known := s.uses[t.Service]
		if !known || r.Priority < u.mostUrgent {
			u.mostUrgent = r.Priority
		}
		u.streams = u.streams || r.Kind == Stream
		s.uses[t.Service] = u
	}
}

// Service returns the service with the given name, or nil.
func (s *Services) Service(name string) *Service { return s.byName[name] }

// MostUrgent returns the priority of the most urgent route that leads to a service; 0: none leads
// there.
func (s *Services) MostUrgent(service string) int { return s.uses[service].mostUrgent }

// HasStreams reports whether a route of streams leads to a service.
func (s *Services) HasStreams(service string) bool { return s.uses[service].streams }

// Used reports whether a route leads to a service.
func (s *Services) Used(service string) bool {
	_, used := s.uses[service]
	return used
}
