// Package plan is the configuration in force on an entry host of a platform
// that keeps routes, services and API keys in its own object API. A Plan is
// immutable: a request loads it once and keeps it to its end.
package plan

import (
	"sort"
	"strings"
	"time"

	"bilberrydale/process/coldstart"
)

// Kind tells what may be repeated.
type RouteKind int

// Kinds of routes.
const (
	Safe   RouteKind = iota // may run more than once
	Unsafe                  // runs at most once for each attempt of the client
	Stream                  // a series of events; as Unsafe unless resumable
)

// String returns the kind for logs.
func (k RouteKind) String() string {
	return [...]string{"safe", "unsafe", "stream"}[k]
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Stage is work that has to be done before a request can run. Its results are
// the inputs of the stages that name it in After, or of the request itself.
type Stage struct {
	Service     string
	DependsOn   []int // indexes of the stages whose results it needs
	ResultBytes int64 // approximate
}

// Route says which requests go to which service, through which stages.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string
	Kind           RouteKind
	Timeout        time.Duration // longest time a request may be kept waiting
	TargetLatency  time.Duration // full worth up to here
	MaxEventGap    time.Duration // longest pause between events that is on time
	Priority       int           // 0 is the most urgent
	Targets        []Target
	MaxAttempts    int
	Stages         []Stage
	Public         bool // needs no API key
	PrefixAffinity bool // requests share prompt prefixes
	Resumable      bool // a stream may go on at another backend server
	// Regions in which its requests may be served; empty: every one.
	Regions []string
}

// Service is a group of backend servers that can stand in for each other.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // connections that a server accepts from all hosts together
	Engine         *Engine
	Batch          *Batch
	// Cold is what its servers bear after their start.
	ColdStart coldstart.Limit
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots    int
	KVTokens int64
	// TokenBytes is the size of a token in an engine's memory, and LinkRate the bytes a
	// second in which an engine gets them from another; 0: not known.
	KVBytesPerToken    int64
	LinkBytesPerSecond float64
}

// fetchSetup is the time in which two engines agree on a transfer.
const kvTransferSetup = 5 * time.Millisecond

// FetchTime is how long an engine takes to get so many tokens from another one that has
// read them; 0: it cannot.
func (e *Engine) KVTransferTime(tokens int) time.Duration {
	if e == nil || e.KVBytesPerToken <= 0 || e.LinkBytesPerSecond <= 0 {
		return 0
	}
	return kvTransferSetup + time.Duration(float64(tokens)*float64(e.KVBytesPerToken)/e.LinkBytesPerSecond*float64(time.Second))
}

// Batch describes how servers of a stage take work: calls with several items.
type Batch struct {
	ConcurrentCalls   int // calls that run at once
	QueuedCalls       int // calls that may wait
	MaxItemsPerCall   int // items of one call
	TimePerCall       time.Duration
	TimePerItem       time.Duration
	ResultMemoryBytes int64         // for results that nobody has freed yet
	ResultTTL         time.Duration // after which a result is freed by itself
}

// Account is a client account with its API keys.
type Account struct {
	Name string
	Keys []string
	// Priority replaces the route's where HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions in which its requests may be served; empty: every one.
	Regions []string
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is the decoded configuration from which a Plan is compiled.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Plan is a compiled configuration.
type Plan struct {
	Version       int64
	Limits        Limits
	services      map[string]*Service
	routesByHost  map[string][]*Route // by host, longest path prefix first
	accountsByKey map[string]*Account
	accountCount  int
	serviceNames  []string
}

// Compile indexes a configuration for reading.
func Compile(c Config) *Plan {
	p := &Plan{
		Version: c.Version, Limits: c.Limits,
		services:      make(map[string]*Service, len(c.Services)),
		routesByHost:  make(map[string][]*Route),
		accountsByKey: make(map[string]*Account),
	}
	for i := range c.Services {
		s := &c.Services[i]
		p.services[s.Name] = s
		p.serviceNames = append(p.serviceNames, s.Name)
	}
	sort.Strings(p.serviceNames)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		p.routesByHost[host] = append(p.routesByHost[host], r)
	}
	for _, rs := range p.routesByHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].PathPrefix) > len(rs[j].PathPrefix) })
	}
	p.accountCount = len(c.Accounts)
	for i := range c.Accounts {
		a := &c.Accounts[i]
		for _, k := range a.Keys {
			p.accountsByKey[k] = a
		}
	}
	return p
}

// Match returns the route of a request, or nil. The longest path prefix wins.
func (p *Plan) Match(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range p.routesByHost[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Account returns the holder of an API key, or nil.
func (p *Plan) AccountByKey(key string) *Account { return p.accountsByKey[key] }

// HasAccounts reports whether requests need a key at all. They do also where
// every key was taken away.
func (p *Plan) HasAccounts() bool { return p.accountCount > 0 }

// Service returns a service by name, or nil.
func (p *Plan) Service(name string) *Service { return p.services[name] }

// ServiceNames returns the names of all services in order.
func (p *Plan) ServiceNames() []string { return p.serviceNames }

// Choose picks the service of one request by the weights of the route's
// targets; u is uniform in [0,1).
func (r *Route) PickService(u float64) string {
	var sum float64
	for _, t := range r.Targets {
		sum += t.Weight
	}
	u *= sum
	for _, t := range r.Targets {
		if u < t.Weight {
			return t.Service
		}
		u -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
