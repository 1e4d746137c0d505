// Package plan holds the configuration currently in use on an entry host, for platforms that
// store routes, services and API keys in their own object API. A Plan is immutable. A request
// loads it once, and keeps its route and the services until its end.
package plan

import (
	"iter"
	"sort"
	"strings"
	"time"

	"bilberrydale/process/coldstart"
)

// RouteKind determines which requests of a route may be retried.
type RouteKind int

// Kinds of routes.
const (
	Safe   RouteKind = iota // requests may run more than once
	Unsafe                  // a request runs at most once per attempt of the client
	Stream                  // the response is a stream of events; as Unsafe, unless the route is resumable
)

// String returns the name of the kind, as used in logs.
func (k RouteKind) String() string {
	return [...]string{"safe", "unsafe", "stream"}[k]
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  float64 // relative to the other targets of the route
}

// Stage is work that has to be completed before a request can run. Its results are the
// inputs of the stages that depend on it, or of the request if none does.
type Stage struct {
	Service     string
	DependsOn   []int // indexes of the stages whose results are its inputs
	ResultBytes int64 // approximate size of one result
}

// Route defines which requests it matches, and the service and the stages that handle them.
type Route struct {
	Name           string
	Host           string // host name in requests, case-insensitive
	PathPrefix     string // of the paths that match; the longest match wins
	Kind           RouteKind
	Timeout        time.Duration // maximum time for a request, which a client may shorten; 0: not set
	TargetLatency  time.Duration // a response within this time has its full worth; 0: not set
	MaxEventGap    time.Duration // longest gap between events that counts as on time
	Priority       int           // 0: most urgent
	Targets        []Target      // services, one of which is chosen by weight for each request
	MaxAttempts    int           // limit of the attempts that may have run a request, if it is retryable
	Stages         []Stage       // in an order in which each stage depends on earlier ones only
	Public         bool          // no API key is required
	PrefixAffinity bool          // requests share prompt prefixes and are routed by them
	Resumable      bool          // an interrupted stream may be resumed on another backend server
	// Regions in which requests may be served; empty: all.
	Regions []string
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string  // path of the servers' health check
	MaxConnections int     // that one server accepts from all entry hosts together
	Engine         *Engine // nil: its servers are no model engines
	Batch          *Batch  // nil: its servers run no stages
	// ColdStart limits the requests to servers that have recently started.
	ColdStart coldstart.Limit
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots    int   // requests that run concurrently
	KVTokens int64 // capacity of the KV cache in tokens
	// KVBytesPerToken is the size of one token's entry in the KV cache. LinkBytesPerSecond is the
	// rate at which an engine receives KV cache from another engine. 0: not known.
	KVBytesPerToken    int64
	LinkBytesPerSecond float64
}

const (
	// kvTransferSetup is the time to set up a KV cache transfer between two engines.
	kvTransferSetup = 5 * time.Millisecond
	// maxKVTransfer is the longest time of a transfer. No request waits for a longer one.
	maxKVTransfer = time.Hour
)

// KVTransferTime returns how long an engine takes to receive the KV cache of so many tokens
// from another engine, at most about maxKVTransfer. 0: transfers are not possible.
func (e *Engine) KVTransferTime(tokens int) time.Duration {
	if e == nil || e.KVBytesPerToken <= 0 || e.LinkBytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(tokens) * float64(e.KVBytesPerToken) / e.LinkBytesPerSecond
	return kvTransferSetup + time.Duration(min(seconds, maxKVTransfer.Seconds())*float64(time.Second))
}

// Batch describes how the servers of a stage process calls, each with a batch of items.
type Batch struct {
	ConcurrentCalls   int // per server
	QueuedCalls       int // calls that a server may queue
	MaxItemsPerCall   int
	TimePerCall       time.Duration // constant part of the duration of a call
	TimePerItem       time.Duration // added to the duration of a call by each item
	ResultMemoryBytes int64         // memory of a server for results that have not been freed
	ResultTTL         time.Duration // after which a server frees a result by itself
}

// Account is a client account with its API keys.
type Account struct {
	Name string
	Keys []string // API keys
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions in which requests may be served; empty: all.
	Regions []string
}

// Limits restrict what a client may send, and how long its connections are kept. 0: not set.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // for the headers of a request to arrive
	IdleTimeout    time.Duration // after which an idle connection is closed
}

// MaxHeaderBytes is the size of headers that entry hosts take at most, whatever the limit of the
// configuration.
const MaxHeaderBytes = 64 << 10

// Config is the decoded configuration from which a Plan is compiled.
type Config struct {
	Version  int64 // increases with each new configuration
	Routes   []Route
	Services []Service
	// Accounts are the client accounts. nil: requests need no API key; empty: they need one, and no
	// key is valid.
	Accounts []Account
	Limits   Limits
}

// Plan is a compiled configuration, indexed for lookups. It is immutable.
type Plan struct {
	Version       int64
	Limits        Limits
	services      *Services
	routesByHost  map[string][]*Route // by lower-case host name, longest path prefix first
	accountsByKey map[string]*Account // by API key
	keysRequired  bool                // requests need an API key, unless their route is public
	serviceNames  []string            // in alphabetical order
}

// Compile builds the indexes of a configuration. The Plan keeps references to c, which must
// not be modified afterwards.
func Compile(c Config) *Plan {
	p := &Plan{
		Version: c.Version, Limits: c.Limits,
		services:      newServices(c),
		routesByHost:  make(map[string][]*Route),
		accountsByKey: make(map[string]*Account),
	}
	for _, s := range c.Services {
		p.serviceNames = append(p.serviceNames, s.Name)
	}
	sort.Strings(p.serviceNames)
	for _, r := range c.Routes { // each a copy of its own, which requests keep without the others
		host := strings.ToLower(r.Host)
		p.routesByHost[host] = append(p.routesByHost[host], &r)
	}
	for _, rs := range p.routesByHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].PathPrefix) > len(rs[j].PathPrefix) })
	}
	p.keysRequired = c.Accounts != nil
	for i := range c.Accounts {
		a := &c.Accounts[i]
		for _, k := range a.Keys {
			p.accountsByKey[k] = a
		}
	}
	return p
}

// Match returns the route of a request's host and path, or nil. If several match, it is the one
// with the longest path prefix. A port in host is ignored.
func (p *Plan) Match(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range p.routesByHost[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Routes iterates over all routes, in no particular order.
func (p *Plan) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, list := range p.routesByHost {
			for _, r := range list {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// AccountByKey returns the client account that has the API key, or nil.
func (p *Plan) AccountByKey(key string) *Account { return p.accountsByKey[key] }

// KeysRequired reports whether requests need an API key, unless their route is public: the
// configuration has a list of client accounts, even if all keys or all accounts were removed from it.
func (p *Plan) KeysRequired() bool { return p.keysRequired }

// Services returns the services.
func (p *Plan) Services() *Services { return p.services }

// Service returns the service with the given name, or nil.
func (p *Plan) Service(name string) *Service { return p.services.Service(name) }

// ServiceNames returns the names of all services in alphabetical order. The caller must not
// modify the slice.
func (p *Plan) ServiceNames() []string { return p.serviceNames }

// PickService returns the service for one request, chosen by the weights of the route's
// targets. u is uniformly distributed in [0,1). It returns an empty name if the route has no
// targets.
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
