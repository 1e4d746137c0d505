// Package table defines, reads and validates the two tables that operators edit. Routes map
// requests to stages; pools list the backend servers that execute a stage. A stage refers to
// its pool by name.
package table

import "time"

// Duration is a time.Duration that is encoded as text ("300ms") in the tables.
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

// Class is the urgency of requests that compete for the same backend servers.
type Class string

// Classes, from the most to the least urgent.
const (
	Interactive Class = "interactive" // a user waits for the response
	Standard    Class = "standard"
	Background  Class = "background" // may be delayed; runs while no other requests wait
)

// Route maps the requests selected by Match to the stages that execute them.
type Route struct {
	Name     string   `json:"name" yaml:"name"` // unique among routes
	Match    Match    `json:"match" yaml:"match"`
	Deadline Duration `json:"deadline" yaml:"deadline"` // of a request, from its arrival
	// Worth is the weight of one completed request of this route relative to other routes.
	Worth  float64 `json:"worth" yaml:"worth"`
	Class  Class   `json:"class" yaml:"class"`
	Stages []Stage `json:"stages" yaml:"stages"` // in the order of execution

	Policy RoutePolicy `json:"policy,omitzero" yaml:"policy,omitempty"`
}

// Match selects requests. All fields that are set must match. If several routes match a
// request, the one with the longest path prefix is used, then the one with the most headers.
type Match struct {
	Path    string            `json:"path" yaml:"path"`                           // prefix of the request's path
	Method  string            `json:"method,omitempty" yaml:"method,omitempty"`   // empty: any
	Headers map[string]string `json:"headers,omitempty" yaml:"headers,omitempty"` // values by name
}

// Stage is one step of a route. Its input is the request body, or the output of the preceding
// stage.
type Stage struct {
	Name string `json:"name" yaml:"name"` // unique in the route
	Pool string `json:"pool" yaml:"pool"` // name of the pool whose backend servers execute the stage
	// Budget is the expected maximum duration of the stage.
	Budget Duration `json:"budget" yaml:"budget"`
	// Repeatable means that the stage may be executed again after a failure. Other stages are
	// executed at most once.
	Repeatable bool `json:"repeatable" yaml:"repeatable"`
	// Stream means that the output of the stage is forwarded to the caller as it arrives. Only
	// the last stage can be streamed.
	Stream bool   `json:"stream,omitempty" yaml:"stream,omitempty"`
	Path   string `json:"path,omitempty" yaml:"path,omitempty"` // on the backend server; default /
	// Cost is the cost of one execution, in a unit chosen by the deployment.
	Cost float64 `json:"cost,omitempty" yaml:"cost,omitempty"`
}

// PoolKind is the kind of a pool's backend servers.
type PoolKind string

// Kinds of pools.
const (
	Engine  PoolKind = "engine"  // model engine: batches and streams requests, executes orders
	Encoder PoolKind = "encoder" // stateless model stage used together with engines
	Service PoolKind = "service" // service without a model
)

// Pool is a set of backend servers that can execute the same stage.
type Pool struct {
	Name    string   `json:"name" yaml:"name"` // unique among pools
	Kind    PoolKind `json:"kind" yaml:"kind"`
	Model   Model    `json:"model,omitzero" yaml:"model,omitempty"`      // not for services
	Role    string   `json:"role,omitempty" yaml:"role,omitempty"`       // role that the engines have to take
	Fencing bool     `json:"fencing,omitempty" yaml:"fencing,omitempty"` // servers reject orders with stale fencing numbers
	// Slots is the number of requests that one server executes concurrently.
	Slots   int      `json:"slots" yaml:"slots"`
	Servers []Server `json:"servers" yaml:"servers"`
}

// Model is the model that the engines of a pool have to have loaded.
type Model struct {
	Name    string `json:"name,omitempty" yaml:"name,omitempty"`
	Adapter string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
	Version string `json:"version,omitempty" yaml:"version,omitempty"`
}

// String returns name/adapter@version without the parts that are empty.
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
	Name    string  `json:"name" yaml:"name"`                         // the same in all pools that list the server
	Address string  `json:"address" yaml:"address"`                   // host:port
	Domain  string  `json:"domain" yaml:"domain"`                     // failure domain
	Region  string  `json:"region" yaml:"region"`                     // region of the failure domain
	Weight  float64 `json:"weight,omitempty" yaml:"weight,omitempty"` // capacity relative to the pool's Slots; default 1
}

// Tables holds both tables of a release.
type Tables struct {
	Routes []Route `json:"routes" yaml:"routes"`
	Pools  []Pool  `json:"pools" yaml:"pools"`
}
