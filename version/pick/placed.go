package pick

import (
	"time"

	"bilberrydale/process/server"
	"bilberrydale/version/table"
)

// Options set a Placed picker.
type Options struct {
	Host   string // name of this entry host; decides its subsets
	Domain string
	Region string

	// SubsetRegion and SubsetRemote bound the servers used in other domains of
	// the region and in each other region.
	RegionSubsetSize int
	RemoteSubsetSize int
	// SpillAt is the load (requests for a slot) of the nearest servers from
	// which the rest of the region is tried.
	SpilloverLoad float64
	// RemoteAt is the load of the own region from which other regions are
	// tried, RemoteShort the same while servers of the own region are out of
	// use, RemoteBelow the load that the others may have.
	RemoteSpilloverLoad   float64
	DegradedSpilloverLoad float64
	MaxRemoteLoad         float64
	// RemotePerMB is the load by which another region has to be better for
	// each billed megabyte of input.
	RemoteLoadPerMB float64
	// AffinityBound is how far, as a factor of the mean load, a server that
	// has the prefix cached may be above the others.
	MaxAffinityLoadFactor float64
	// SlowStart is how long a new server's load counts as higher than it is.
	SlowStartDuration time.Duration
	// ReportLife is the age up to which the report of a server in another
	// domain is believed.
	MaxReportAge time.Duration
	// EjectShare bounds the part of a tier that ejections may take out.
	MaxEjectedFraction float64
}

// DefaultOptions returns the defaults for a host at the given place.
func DefaultOptions(host, domain, region string) Options {
	return Options{
		Host: host, Domain: domain, Region: region, RegionSubsetSize: 8, RemoteSubsetSize: 4,
		SpilloverLoad: 1, RemoteSpilloverLoad: 1.6, DegradedSpilloverLoad: 1.2, MaxRemoteLoad: .8, RemoteLoadPerMB: 1,
		MaxAffinityLoadFactor: 1.25, SlowStartDuration: 5 * time.Second, MaxReportAge: 15 * time.Second, MaxEjectedFraction: .5,
	}
}

// Placed picks by place, then by load: the own failure domain, the own region,
// other regions. Within a tier it takes the better of two at random, so that
// hosts that share no queue and see reports late do not all send to the server
// that was least loaded a moment ago.
type LocalityPicker struct {
	opts    Options
	servers []Server
	near    tier // own failure domain
	region  tier // subset of the own region's other domains
	remote  tier // subsets of other regions
}

// tier is a group of servers that are equally good by place.
type tier []*Server

// NewPlaced returns a picker over servers.
func NewLocalityPicker(opts Options, servers []Server) *LocalityPicker {
	p := &LocalityPicker{opts: opts, servers: servers}
	others := map[string]tier{}
	var regions []string
	var rest tier
	for i := range servers {
		s := &servers[i]
		s.outside = s.Domain != opts.Domain || s.Region != opts.Region
		switch {
		case s.Domain == opts.Domain && s.Region == opts.Region:
			p.near = append(p.near, s)
		case s.Region == opts.Region:
			rest = append(rest, s)
		default:
			if others[s.Region] == nil {
				regions = append(regions, s.Region)
			}
			others[s.Region] = append(others[s.Region], s)
		}
	}
	p.region = subset(opts.Host, rest, opts.RegionSubsetSize)
	for _, r := range regions {
		p.remote = append(p.remote, subset(opts.Host, others[r], opts.RemoteSubsetSize)...)
	}
	return p
}

// Servers implements Picker.
func (p *LocalityPicker) Servers() []Server { return p.servers }

// Pick implements Picker.
func (p *LocalityPicker) Pick(info *Attempt) (*Server, error) {
	for range maxTrials {
		s, err := p.pick(info)
		if err != nil || s.State.Health(info.Now) != server.TrialDue || s.State.ClaimTrial(info.Now) {
			return s, err
		}
	}
	return nil, ErrNoServer
}

// maxTrials bounds how often another request takes a trial first.
const maxTrials = 8

// Prefer returns the server that Pick would try first, without claiming a
// trial.
func (p *LocalityPicker) Preview(info *Attempt) (*Server, error) { return p.pick(info) }

func (p *LocalityPicker) pick(info *Attempt) (*Server, error) {
	best, load := p.choose(p.near, info)
	if best != nil && load < p.opts.SpilloverLoad {
		return best, nil
	}
	if s, l := p.choose(p.region, info); s != nil && (best == nil || l < load) {
		best, load = s, l
	}
	if best != nil && !p.mayLeave(info, load) {
		return best, nil
	}
	s, l := p.choose(p.remote, info)
	switch {
	case s == nil && best == nil:
		return nil, ErrNoServer
	case s == nil:
		return best, nil
	case best == nil || p.worthLeaving(info, load, l):
		return s, nil
	}
	return best, nil
}

// mayLeave reports whether the own region is so full that another is tried.
func (p *LocalityPicker) mayLeave(info *Attempt, load float64) bool {
	if info.Class == table.Background || load < p.opts.DegradedSpilloverLoad {
		return false
	}
	return load >= p.opts.RemoteSpilloverLoad || p.short(info.Now)
}

// short reports whether more than a few servers of the own region are out of
// use: then its queue is no swing of the moment, and waiting will not end it.
func (p *LocalityPicker) short(now time.Time) bool {
	out := 0
	for _, t := range []tier{p.near, p.region} {
		for _, s := range t {
			if !s.serves(now) {
				out++
			}
		}
	}
	return float64(out) > shortShare*float64(len(p.near)+len(p.region))
}

// shortShare is the part of a region's servers whose loss makes it short.
const shortShare = .2

// worthLeaving weighs a shorter queue in another region against its bytes.
func (p *LocalityPicker) worthLeaving(info *Attempt, here, there float64) bool {
	const megabyte = 1 << 20
	return there < p.opts.MaxRemoteLoad && here-there >= p.opts.RemoteLoadPerMB*float64(info.InputBytes)/megabyte
}

// choose returns the server of t to use and its load, or nil.
func (p *LocalityPicker) choose(t tier, info *Attempt) (*Server, float64) {
	if len(t) == 0 {
		return nil, 0
	}
	if info.PrefixHash != 0 {
		if s, l := p.cached(t, info); s != nil {
			return s, l
		}
	}
	a, la := p.from(t, info, info.Rand.IntN(len(t)), nil)
	if a == nil {
		return nil, 0
	}
	b, lb := p.from(t, info, info.Rand.IntN(len(t)), a)
	if b != nil && lb < la {
		a, la = b, lb
	}
	if la < p.opts.SpilloverLoad {
		return a, la
	}
	return p.least(t, info)
}

// from returns the first usable server at or after start, other than not.
func (p *LocalityPicker) from(t tier, info *Attempt, start int, not *Server) (*Server, float64) {
	for i := range t {
		s := t[(start+i)%len(t)]
		if s != not && p.usable(t, s, info) {
			return s, p.load(s, info.Now)
		}
	}
	return nil, 0
}

// least returns the least loaded server: used only when two at random are both
// full, to see whether any slot is free before work leaves the tier.
func (p *LocalityPicker) least(t tier, info *Attempt) (*Server, float64) {
	var best *Server
	var load float64
	start := info.Rand.IntN(len(t))
	for i := range t {
		s := t[(start+i)%len(t)]
		if !p.usable(t, s, info) {
			continue
		}
		if l := p.load(s, info.Now); best == nil || l < load {
			best, load = s, l
		}
	}
	return best, load
}

func (p *LocalityPicker) usable(t tier, s *Server, info *Attempt) bool {
	return s.State.Usable() && !info.Excluded(s.State) && !p.ejected(t, s, info.Now)
}

// ejected reports whether s is to be passed over. Servers that answer with
// failures are passed over only within the bound of their tier: a fault that
// makes every server look bad, such as a poisoned request, must not leave none.
// A server to which no connection can be made is of no use in any case.
func (p *LocalityPicker) ejected(t tier, s *Server, now time.Time) bool {
	switch s.State.Health(now) {
	case server.Healthy, server.TrialDue:
		return false
	case server.Disconnected:
		return true
	}
	bound := max(1, int(p.opts.MaxEjectedFraction*float64(len(t))))
	for _, x := range t {
		if x == s {
			return bound > 0
		}
		if x.State.Health(now) == server.Outlier {
			bound--
		}
	}
	return false
}

// load returns requests for a slot, raised while the server is new.
func (p *LocalityPicker) load(s *Server, now time.Time) float64 {
	nano := now.UnixNano()
	l := s.State.EstimatedRequestsAt(nano) / s.capacity()
	if s.outside && s.State.ReportAge(nano) > p.opts.MaxReportAge {
		l += unknownLoad
	}
	if age := s.State.Age(nano); age < p.opts.SlowStartDuration {
		ramp := max(leastRamp, float64(age)/float64(p.opts.SlowStartDuration))
		l = (l + 1/s.capacity()) / ramp
	}
	return l
}

// unknownLoad stands for what other hosts have on a server of another domain
// whose last report is old or missing. Without it such a server looks idle, and
// every full region would spill to it; with it, it is used when the own region
// has no usable server or is fuller still.
const unknownLoad = .9

// leastRamp bounds how much higher the load of a new server counts.
const leastRamp = .1

var _ Picker = (*LocalityPicker)(nil)
