package streamwriter

import "time"

// MaxAge is the age up to which a confirmation of what a host knows of writers shows that it knows
// all that streams have begun at: a version settles only once it has been listed for longer.
const MaxAge = 1500 * time.Millisecond

// settling tells which versions have been listed for long enough that every host with fresh
// knowledge has seen them. It is not safe for concurrent use.
type settling struct {
	// listedSince holds, for each listed version, when this host first saw it; zero: it has
	// settled. Nil before the first list.
	listedSince map[Writer]time.Time
}

// observe sets the versions that are listed now, by service. Those of the first list count as
// settled.
func (s *settling) observe(now time.Time, versions map[string][]string) {
	if s.listedSince == nil && len(versions) == 0 {
		return // the list has not been read yet
	}
	listed := map[Writer]time.Time{}
	for service, list := range versions {
		for _, version := range list {
			w := Writer{service, version}
			since, known := s.listedSince[w]
			if !known && s.listedSince != nil {
				since = now
			}
			listed[w] = since
		}
	}
	s.listedSince = listed
}

// confirm records that the versions were listed at a time, and reports whether one has settled.
func (s *settling) confirm(at time.Time) bool {
	changed := false
	for w, since := range s.listedSince {
		if !since.IsZero() && at.Sub(since) >= MaxAge {
			s.listedSince[w] = time.Time{}
			changed = true
		}
	}
	return changed
}

// unsettled returns the listed versions that have not settled, of services that may have had
// another version lately.
func (s *settling) unsettled(hadAnother func(Writer) bool) map[Writer]bool {
	out := map[Writer]bool{}
	for w, since := range s.listedSince {
		if !since.IsZero() && hadAnother(w) {
			out[w] = true
		}
	}
	return out
}
