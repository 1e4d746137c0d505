package serverspeed

import (
	"slices"
	"time"
)

// maxHeard is the number of other hosts whose measurements of a server are kept.
const maxHeard = 8

// heard is what another host has measured.
type heard struct {
	evidence
	origin uint32 // hash of the host's name
}

// Finding is what one host has measured at a server, for other hosts.
type Finding struct {
	Server     uint64 // hash of the server's process
	Origin     uint32 // hash of the name of the host that has measured
	Time       int16  // logarithm of the relative time, in hundredths
	TimeWeight uint8  // of Time, in tenths
	Room       int16  // logarithm of the room, in hundredths
	RoomWeight uint8  // of Room, in tenths
	AgeMS      uint16 // since the last measurement, in milliseconds
}

const (
	// maxFindingAge is the age from which a finding is not passed on.
	maxFindingAge = 3 * time.Second
	// newerMargin is how much later a finding has to be measured to replace another one of the same
	// host: the time on the way varies.
	newerMargin = 150 * time.Millisecond
	// suspectAbove is the relative time from which a server's measurements are told to other hosts.
	suspectAbove = 1.5
	// suspectBelow is the room below which they are.
	suspectBelow = 0.7
)

// news returns what this host has measured since the last call, unless nothing suggests that the server
// is slow. The caller sets the hashes.
func (s *State) news(now time.Time) (Finding, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.own.newest.After(s.sentAt) || now.Sub(s.own.newest) >= maxFindingAge {
		return Finding{}, false
	}
	s.own.decay(now)
	if s.judged.Load() == 0 && s.own.time.estimate() < logSuspectAbove && s.own.room.estimate() > logSuspectBelow {
		return Finding{}, false
	}
	s.sentAt = s.own.newest
	return s.own.finding(now), true
}

// hear records a finding of another host. It returns false if it is no newer than what is known from
// that host.
func (s *State) hear(f Finding, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := heard{f.evidence(now), f.Origin}
	i := slices.IndexFunc(s.heard, func(known heard) bool { return known.origin == f.Origin })
	switch {
	case i >= 0 && h.newest.Before(s.heard[i].newest.Add(newerMargin)):
		return false
	case i >= 0:
		s.heard[i] = h
	case len(s.heard) < maxHeard:
		s.heard = append(s.heard, h)
	default:
		oldest := 0
		for i := range s.heard {
			if s.heard[i].newest.Before(s.heard[oldest].newest) {
				oldest = i
			}
		}
		if h.newest.Before(s.heard[oldest].newest) {
			return false
		}
		s.heard[oldest] = h
	}
	s.judge(now)
	return true
}

// forgetHeard drops findings that no longer weigh anything. The caller holds s.mu.
func (s *State) forgetHeard(now time.Time) {
	s.heard = slices.DeleteFunc(s.heard, func(h heard) bool { return now.Sub(h.newest) > maxHeardAge })
}

// maxHeardAge is the age up to which findings are kept.
const maxHeardAge = 8 * evidenceHalfLife
