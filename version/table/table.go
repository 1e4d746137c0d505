// Package table defines the two tables that operators edit: routes, which say
// which requests go through which stages, and pools, which say which backend
// servers serve a stage. They are joined by pool names alone.
package table

import "time"

// Duration is a time.Duration written as text ("300ms") in the tables.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Class orders requests that compete for the same backend servers.
type Class string

// Classes, from the most to the least urgent.
const (
	Interactive Class = "interactive" // somebody waits on the page
	Standard    Class = "standard"
	Background  Class = "background" // may be late; runs when nobody waits
)

// Route says which requests go through which stages.
type Route struct {
	Name     string   `json:"name" yaml:"name"`
	Match    Match    `json:"match" yaml:"match"`
	Deadline Duration `json:"deadline" yaml:"deadline"`
	// Worth weighs one completed request of this route against others.
	Worth  float64 `json:"worth" yaml:"worth"`
	Class  Class   `json:"class" yaml:"class"`
	Stages []Stage `json:"stages" yaml:"stages"`

	Policy RoutePolicy `json:"policy,omitzero" yaml:"policy,omitempty"`
}

// Match selects requests. Every set field must match; the longest path prefix
// wins, then the larger number of headers.
type Match struct {
	Path    string            `json:"path" yaml:"path"`
	Method  string            `json:"method,omitempty" yaml:"method,omitempty"`
	Headers map[string]string `json:"headers,omitempty" yaml:"headers,omitempty"`
}

// Stage is one step of a route. Its input is the request body (first stage) or
// the output of the stage before it.
type Stage struct {
	Name string `json:"name" yaml:"name"`
	Pool string `json:"pool" yaml:"pool"`
	// Budget is the time the stage is expected to need at most.
	Budget Duration `json:"budget" yaml:"budget"`
	// Repeatable stages may run again after a failure; others run at most once.
	Repeatable bool `json:"repeatable" yaml:"repeatable"`
	// Stream passes the stage's output on as it comes; only the last stage.
	Stream bool   `json:"stream,omitempty" yaml:"stream,omitempty"`
	Path   string `json:"path,omitempty" yaml:"path,omitempty"` // on the backend server; default /
	// Cost is the price of one execution, in the deployment's own unit.
	Cost float64 `json:"cost,omitempty" yaml:"cost,omitempty"`
}

// PoolKind says what a pool's backend servers are.
type PoolKind string

// Kinds of pools.
const (
	Engine  PoolKind = "engine"  // model engine: batches, streams, takes orders
	Encoder PoolKind = "encoder" // stateless model stages beside the engines
	Service PoolKind = "service" // plain service
)

// Pool is a set of backend servers that can serve the same stage.
type Pool struct {
	Name    string   `json:"name" yaml:"name"`
	Kind    PoolKind `json:"kind" yaml:"kind"`
	Model   Model    `json:"model,omitzero" yaml:"model,omitempty"`
	Role    string   `json:"role,omitempty" yaml:"role,omitempty"`
	Fencing bool     `json:"fencing,omitempty" yaml:"fencing,omitempty"` // servers refuse orders with old fencing numbers
	// Slots is how many requests one server runs at once.
	Slots   int      `json:"slots" yaml:"slots"`
	Servers []Server `json:"servers" yaml:"servers"`
}

// Model is what the engines of a pool have to have loaded.
type Model struct {
	Name    string `json:"name,omitempty" yaml:"name,omitempty"`
	Adapter string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
	Version string `json:"version,omitempty" yaml:"version,omitempty"`
}

// String returns name/adapter@version.
func (m Model) String() string {
	s := m.Name
	if m.Adapter != "" {
		s += "/" + m.Adapter
	}
	if m.Version != "" {
		s += "@" + m.Version
	}
	return s
}

// Server is one backend server of a pool.
type Server struct {
	Name    string  `json:"name" yaml:"name"`
	Address string  `json:"address" yaml:"address"` // host:port
	Domain  string  `json:"domain" yaml:"domain"`
	Region  string  `json:"region" yaml:"region"`
	Weight  float64 `json:"weight,omitempty" yaml:"weight,omitempty"` // default 1
}

// Tables are both tables of one release.
type Tables struct {
	Routes []Route `json:"routes" yaml:"routes"`
	Pools  []Pool  `json:"pools" yaml:"pools"`
}
