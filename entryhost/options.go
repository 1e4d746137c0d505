// Package entryhost assembles the daemon of an entry host from the parts that
// live for a request, a connection, a version and the process. It is the
// library behind cmd/bilberryd and may import all of them.
package entryhost

import (
	"errors"
	"fmt"
	"net"
	"time"

	"bilberrydale/internal/settings"
	"bilberrydale/process/telemetry"
)

// Options are the settings of one entry host. Zero values get their defaults
// from DefaultOptions.
type Options struct {
	Name   string // of this entry host
	Domain string // failure domain
	Region string

	Listen string // callers, host:port
	Admin  string // operators, host:port
	Peer   string // other entry hosts, host:port
	Peers  string // addresses of other entry hosts, separated by commas

	Platform      string // base URL of the object API
	PlatformToken string
	AdminToken    string
	PeerSecret    string

	DrainTimeout time.Duration
	LogLevel     string
	LogJSON      bool
	Spans        string
	SpansTo      string
	SpansShare   float64

	Requests RequestOptions
	Policy   PolicyOptions
	Releases ReleaseOptions
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		Listen: "127.0.0.1:8080", Admin: "127.0.0.1:8081", Peer: "127.0.0.1:8082",
		Platform: "http://127.0.0.1:8090", DrainTimeout: 30 * time.Second,
		LogLevel: "info", Spans: telemetry.ExportNone, SpansShare: 1,
		Requests: DefaultRequestOptions(),
		Policy:   defaultPolicyOptions(),
		Releases: defaultReleaseOptions(),
	}
}

// Register adds every setting to set.
func (o *Options) Register(set *settings.Set) {
	set.String(&o.Name, "name", "name of this entry host", settings.Required)
	set.String(&o.Domain, "domain", "failure domain of this entry host", settings.Required)
	set.String(&o.Region, "region", "region of this entry host", settings.Required)
	set.String(&o.Listen, "listen", "callers' address, host:port", address)
	set.String(&o.Admin, "admin", "operators' address, host:port; without a token loopback only", address)
	set.String(&o.Peer, "peer", "address for other entry hosts, host:port", address)
	set.String(&o.Peers, "peers", "peer addresses of other entry hosts, separated by commas", nil)
	set.String(&o.Platform, "platform", "base URL of the platform's object API", settings.Required)
	set.Secret(&o.PlatformToken, "platform-token", "bearer token for the platform")
	set.Secret(&o.AdminToken, "admin-token", "bearer token that admin calls need")
	set.Secret(&o.PeerSecret, "peer-secret", "secret that entry hosts prove to each other")
	set.Duration(&o.DrainTimeout, "drain-timeout", "longest wait for requests in flight at shutdown", time.Second, 10*time.Minute)
	set.String(&o.LogLevel, "log-level", "debug, info, warn or error", nil)
	set.Bool(&o.LogJSON, "log-json", "write logs as JSON")
	set.String(&o.Spans, "spans", "span exporter: none, stdout or otlp", nil)
	set.String(&o.SpansTo, "spans-to", "OTLP collector, host:port", nil)
	set.Float(&o.SpansShare, "spans-share", "share of requests traced", 0, 1)
	o.Requests.register(set)
	o.Policy.register(set)
	o.Releases.register(set)
}

func address(v string) error {
	if _, _, err := net.SplitHostPort(v); err != nil {
		return fmt.Errorf("%q is not host:port", v)
	}
	return nil
}

// Check reports faults between settings.
func (o *Options) Check() error {
	if o.AdminToken == "" && !loopback(o.Admin) {
		return errors.New("--admin: an address other than loopback needs --admin-token")
	}
	return o.checkPeer()
}

func loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
