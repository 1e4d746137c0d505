package streamwriter

import "time"

// MaxAge is the age up to which a confirmation of what a host knows of writers shows that it knows
// all that streams have begun at: a version settles only once it has been listed for as long.
const MaxAge = 1500 * time.Millisecond

// settling tells since when versions have been listed, so that every host with fresh knowledge has
// seen those that have settled. It is not safe for concurrent use.
type settling struct {
	// listedSince holds, for each listed version, when this host first saw it; zero: it had settled
	// before. Nil before the first list.
	listedSince map[Writer]time.Time
	firstListAt time.Time
	// fromStart holds the versions of the first list until the platform's registrations are known, by
	// which they may have settled before; nil from then on.
	fromStart map[Writer]bool
}

// observe sets the versions that are listed now, by service.
func (s *settling) observe(now time.Time, versions map[string][]string) {
	if s.listedSince == nil && len(versions) == 0 {
		return // the list has not been read yet
	}
	first, listed := s.listedSince == nil, map[Writer]time.Time{}
	for service, list := range versions {
		for _, version := range list {
			w := Writer{service, version}
			since, known := s.listedSince[w]
			if !known {
				since = now
			}
			listed[w] = since
		}
	}
	s.listedSince = listed
	if first {
		s.firstListAt, s.fromStart = now, map[Writer]bool{}
		for w := range listed {
			s.fromStart[w] = true
		}
	}
}

// judgeFirstList finds the versions of the first list that had settled before this host started: those
// of which the platform tells so, and those of services of which it knew nothing, as no host had
// followed them.
func (s *settling) judgeFirstList(p *possibleWriters) {
	if s.fromStart == nil || p.registered == nil {
		return
	}
	for w := range s.fromStart {
		listed, settled := p.isRegistered(w)
		if _, still := s.listedSince[w]; still && (listed && settled || !p.knowsService(w.Service)) {
			s.listedSince[w] = time.Time{}
		}
	}
	s.fromStart = nil
}

// unmarked returns the facts that versions have settled which the platform does not keep yet.
func (s *settling) unmarked(now time.Time, p *possibleWriters) []Registration {
	var out []Registration
	for w, since := range s.listedSince {
		if since.IsZero() {
			since = s.firstListAt
		}
		if listed, settled := p.isRegistered(w); listed && !settled && now.Sub(since) >= MaxAge {
			out = append(out, SettledVersion(w.Service, w.Version))
		}
	}
	return out
}

// maxUnregistered is the time for which a listed version waits for its registration. It begins streams
// without one then: a platform that takes no writes must not end the service.
const maxUnregistered = 5 * time.Second

// settlesAt returns when the listed versions settle; zero: they have. Those of services that have had
// no other version lately have. Another version settles once it has been listed and registered for
// MaxAge: if all hosts were killed before the platform knows it, and its servers were gone, nobody
// would know that it was possible.
func (s *settling) settlesAt(p *possibleWriters) map[Writer]time.Time {
	out := map[Writer]time.Time{}
	for w, since := range s.listedSince {
		out[w] = time.Time{}
		if p.registered != nil && !p.hadAnotherVersion(w) {
			continue
		}
		registeredSince, registered := p.registered[Registration{Service: w.Service, Version: w.Version}]
		switch {
		case !registered:
			out[w] = since.Add(maxUnregistered)
		case since.IsZero(): // it had settled before
		case registeredSince.After(since):
			out[w] = registeredSince.Add(MaxAge)
		default:
			out[w] = since.Add(MaxAge)
		}
	}
	return out
}
