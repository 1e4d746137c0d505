package pick

import (
	"time"

	"bilberrydale/process/serverstate"
	"bilberrydale/version/table"
)

// Options configure a LocalityPicker. Loads are requests in flight per slot. Zero values are
// used as they are; start from DefaultOptions.
type Options struct {
	Host   string // name of this entry host; determines its subsets of servers
	Domain string // failure domain of this entry host
	Region string // region of this entry host

	// RegionSubsetSize is the maximum number of servers used in other failure domains of the
	// own region.
	RegionSubsetSize int
	// RemoteSubsetSize is the maximum number of servers used in each other region.
	RemoteSubsetSize int
	// SpilloverLoad is the load of the servers in the own failure domain from which servers
	// in the rest of the region are considered.
	SpilloverLoad float64
	// RemoteSpilloverLoad is the load of the own region from which other regions are
	// considered.
	RemoteSpilloverLoad float64
	// DegradedSpilloverLoad replaces RemoteSpilloverLoad while more than maxUnhealthyFraction of
	// the own region's servers are unhealthy.
	DegradedSpilloverLoad float64
	// MaxRemoteLoad is the load below which a server in another region is used for spillover.
	MaxRemoteLoad float64
	// MinRemoteGainPerMB is the minimum difference between the loads of the own region and of a
	// server in another region, for each billed megabyte of input sent there.
	MinRemoteGainPerMB float64
	// MaxAffinityLoadFactor is the load up to which a server receives requests for the
	// prefixes assigned to it, as a multiple of the mean load of its tier.
	MaxAffinityLoadFactor float64
	// SlowStartDuration is the time for which the load of a new server is overestimated, so
	// that it receives requests gradually.
	SlowStartDuration time.Duration
	// MaxReportAge is the age up to which the load report of a server in another failure
	// domain is used.
	MaxReportAge time.Duration
	// MaxEjectedFraction is the maximum fraction of a tier's servers that are ejected because
	// their attempts fail; one server can be ejected in any case.
	MaxEjectedFraction float64
}

// DefaultOptions returns the default options for an entry host in the given failure domain
// and region.
func DefaultOptions(host, domain, region string) Options {
	return Options{
		Host: host, Domain: domain, Region: region, RegionSubsetSize: 8, RemoteSubsetSize: 4,
		SpilloverLoad: 1, RemoteSpilloverLoad: 1.6, DegradedSpilloverLoad: 1.2, MaxRemoteLoad: .8, MinRemoteGainPerMB: 1,
		MaxAffinityLoadFactor: 1.25, SlowStartDuration: 5 * time.Second, MaxReportAge: 15 * time.Second, MaxEjectedFraction: .5,
	}
}

// LocalityPicker picks by locality and then by load: it prefers the own failure domain to the
// own region and the own region to other regions. Within a tier it picks the less loaded of
// two random servers. Hosts share no queue and receive load reports with a delay, so if each
// picked the least loaded server, all of them would send to the same one.
type LocalityPicker struct {
	opts    Options
	servers []Server
	domain  tier // all servers in the own failure domain
	region  tier // subset of the servers in other failure domains of the own region
	remote  tier // subsets of the servers in other regions
}

// tier is a group of servers of equal locality.
type tier []*Server

// NewLocalityPicker returns a picker for servers, the backend servers of one pool.
func NewLocalityPicker(opts Options, servers []Server) *LocalityPicker {
	p := &LocalityPicker{opts: opts, servers: servers}
	byRegion := map[string]tier{}
	var regions []string
	var otherDomains tier
	for i := range servers {
		s := &servers[i]
		s.outsideDomain = s.Domain != opts.Domain || s.Region != opts.Region
		switch {
		case s.Domain == opts.Domain && s.Region == opts.Region:
			p.domain = append(p.domain, s)
		case s.Region == opts.Region:
			otherDomains = append(otherDomains, s)
		default:
			if byRegion[s.Region] == nil {
				regions = append(regions, s.Region)
			}
			byRegion[s.Region] = append(byRegion[s.Region], s)
		}
	}
	p.region = subset(opts.Host, otherDomains, opts.RegionSubsetSize)
	for _, r := range regions {
		p.remote = append(p.remote, subset(opts.Host, byRegion[r], opts.RemoteSubsetSize)...)
	}
	return p
}

// Servers implements Picker.
func (p *LocalityPicker) Servers() []Server { return p.servers }

// Pick implements Picker.
func (p *LocalityPicker) Pick(attempt *Attempt) (*Server, error) {
	for range maxPickTries {
		s, err := p.selectServer(attempt)
		if err != nil || s.State.Health(attempt.Now) != serverstate.TrialDue || s.State.ClaimTrial(attempt.Now) {
			return s, err
		}
	}
	return nil, ErrNoServer
}

// maxPickTries is the maximum number of selections of one Pick. A selection is repeated when
// the selected server is due for a trial that a concurrent request has claimed first.
const maxPickTries = 8

// Preview returns the server that Pick would select, without claiming the trial of an ejected
// server. Like Pick, it draws from attempt.Rand.
func (p *LocalityPicker) Preview(attempt *Attempt) (*Server, error) { return p.selectServer(attempt) }

// selectServer returns the server for the attempt or ErrNoServer. Its result may be due for a
// trial, which the caller has to claim. A tier is used only if the servers of the preceding
// ones are above the spillover loads or are not usable.
func (p *LocalityPicker) selectServer(attempt *Attempt) (*Server, error) {
	best, load := p.chooseFromTier(p.domain, attempt)
	if best != nil && load < p.opts.SpilloverLoad {
		return best, nil
	}
	if s, l := p.chooseFromTier(p.region, attempt); s != nil && (best == nil || l < load) {
		best, load = s, l
	}
	if best != nil && !p.mayUseRemote(attempt, load) {
		return best, nil
	}
	s, l := p.chooseFromTier(p.remote, attempt)
	switch {
	case s == nil && best == nil:
		return nil, ErrNoServer
	case s == nil:
		return best, nil
	case best == nil || p.remoteIsBetter(attempt, load, l):
		return s, nil
	}
	return best, nil
}

// mayUseRemote reports whether other regions are considered when the best server of the own
// region has the given load. Background requests never leave the region.
func (p *LocalityPicker) mayUseRemote(attempt *Attempt, load float64) bool {
	if attempt.Class == table.Background || load < p.opts.DegradedSpilloverLoad {
		return false
	}
	return load >= p.opts.RemoteSpilloverLoad || p.regionDegraded(attempt.Now)
}

// regionDegraded reports whether more than maxUnhealthyFraction of the own region's servers are
// unhealthy. Its queue is then not a short fluctuation: the lost capacity does not come back by
// waiting.
func (p *LocalityPicker) regionDegraded(now time.Time) bool {
	unhealthy := 0
	for _, t := range []tier{p.domain, p.region} {
		for _, s := range t {
			if !s.healthy(now) {
				unhealthy++
			}
		}
	}
	return float64(unhealthy) > maxUnhealthyFraction*float64(len(p.domain)+len(p.region))
}

// maxUnhealthyFraction is the fraction of unhealthy servers above which a region is degraded.
const maxUnhealthyFraction = .2

// remoteIsBetter reports whether a server in another region with load there is worth the
// billed transfer of the input, compared with load here in the own region.
func (p *LocalityPicker) remoteIsBetter(attempt *Attempt, here, there float64) bool {
	const megabyte = 1 << 20
	return there < p.opts.MaxRemoteLoad && here-there >= p.opts.MinRemoteGainPerMB*float64(attempt.InputBytes)/megabyte
}

// chooseFromTier returns the best usable server of t and its load, or nil if there is none.
func (p *LocalityPicker) chooseFromTier(t tier, attempt *Attempt) (*Server, float64) {
	if len(t) == 0 {
		return nil, 0
	}
	if attempt.PrefixHash != 0 {
		if s, l := p.pickByPrefix(t, attempt); s != nil {
			return s, l
		}
	}
	a, la := p.nextUsable(t, attempt, attempt.Rand.IntN(len(t)), nil)
	if a == nil {
		return nil, 0
	}
	b, lb := p.nextUsable(t, attempt, attempt.Rand.IntN(len(t)), a)
	if b != nil && lb < la {
		a, la = b, lb
	}
	if la < p.opts.SpilloverLoad {
		return a, la
	}
	return p.scanLeastLoaded(t, attempt)
}

// nextUsable returns the first usable server other than exclude at or after index start,
// wrapping around, and its load; nil if there is none.
func (p *LocalityPicker) nextUsable(t tier, attempt *Attempt, start int, exclude *Server) (*Server, float64) {
	for i := range t {
		s := t[(start+i)%len(t)]
		if s != exclude && p.usable(t, s, attempt) {
			return s, p.load(s, attempt.Now)
		}
	}
	return nil, 0
}

// scanLeastLoaded returns the least loaded usable server of the whole tier and its load in
// requests in flight per slot; nil if none is usable. It is called only if no randomly drawn
// server has a load below SpilloverLoad, to find one before the request leaves the tier.
func (p *LocalityPicker) scanLeastLoaded(t tier, attempt *Attempt) (*Server, float64) {
	var best *Server
	var load float64
	start := attempt.Rand.IntN(len(t))
	for i := range t {
		s := t[(start+i)%len(t)]
		if !p.usable(t, s, attempt) {
			continue
		}
		if l := p.load(s, attempt.Now); best == nil || l < load {
			best, load = s, l
		}
	}
	return best, load
}

// usable reports whether the attempt may be sent to s, a server of t.
func (p *LocalityPicker) usable(t tier, s *Server, attempt *Attempt) bool {
	return s.State.Usable() && s.State.Pauses.Admits(attempt.Now) && !attempt.Excluded(s.State) && !p.ejected(t, s, attempt.Now)
}

// ejected reports whether s, a server of t, receives no requests because of its health. At most
// MaxEjectedFraction of a tier, but at least one server, is ejected because attempts fail: a
// fault that makes attempts fail on every server, such as a request that crashes servers, must
// not leave the tier without any. A server to which no connection can be made is always
// ejected.
func (p *LocalityPicker) ejected(t tier, s *Server, now time.Time) bool {
	switch s.State.Health(now) {
	case serverstate.Healthy, serverstate.TrialDue:
		return false
	case serverstate.Disconnected:
		return true
	}
	remaining := max(1, int(p.opts.MaxEjectedFraction*float64(len(t))))
	for _, other := range t {
		if other == s {
			return remaining > 0
		}
		if other.State.Health(now) == serverstate.Outlier {
			remaining--
		}
	}
	return false
}

// load returns the estimated requests in flight per slot of s. The estimate is raised while the
// server is in its slow start and while there is no recent report of a server in another
// failure domain.
func (p *LocalityPicker) load(s *Server, now time.Time) float64 {
	nano := now.UnixNano()
	l := s.State.EstimatedRequestsAt(nano) / s.capacity()
	if s.outsideDomain && s.State.ReportAge(nano) > p.opts.MaxReportAge {
		l += staleReportLoad
	}
	if age := s.State.Age(nano); age < p.opts.SlowStartDuration {
		ramp := max(minRamp, float64(age)/float64(p.opts.SlowStartDuration))
		l = (l + 1/s.capacity()) / ramp
	}
	return l
}

// staleReportLoad is the load that other hosts are assumed to cause on a server in another
// failure domain whose last report is older than MaxReportAge or missing. Without it such a
// server would appear idle, and every full region would spill over to it. With it, the server
// is used if the own region has no usable server or a still higher load.
const staleReportLoad = .9

// minRamp is the lower bound of the factor that the load of a new server is divided by; the
// factor rises to 1 over SlowStartDuration.
const minRamp = .1

var _ Picker = (*LocalityPicker)(nil)
