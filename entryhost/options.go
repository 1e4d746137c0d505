// Package entryhost assembles the daemon of an entry host from the parts that
// live for a request, a connection, a version and the process. It is the
// library behind cmd/bilberryd and may import all of them.
package entryhost

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"bilberrydale/internal/settings"
	"bilberrydale/process/telemetry"
)

// Options are the settings of one entry host. Zero values get their defaults
// from DefaultOptions.
type Options struct {
	Name   string // of this entry host
	Domain string // failure domain
	Region string

	ListenAddress string // callers, host:port
	AdminAddress  string // operators, host:port
	PeerAddress   string // other entry hosts, host:port
	PeerSeeds     string // addresses of other entry hosts, separated by commas

	PlatformURL   string // base URL of the object API
	PlatformToken string
	AdminToken    string
	PeerSecret    string

	// DrainDelay is the time between readiness going false and the first
	// refusal, in which the balancer takes this host out of service.
	DrainDelay           time.Duration
	DrainTimeout         time.Duration
	LogLevel             string
	LogJSON              bool
	RefusalLogsPerSecond int // lines a second about error answers
	SpanExporterName     string
	OTLPEndpoint         string
	SpanSampleRatio      float64
	// SpanExporter gets the spans in place of Spans, if set.
	SpanExporter sdktrace.SpanExporter

	callerOptions
	tlsOptions

	Requests   RequestOptions
	Policy     PolicyOptions
	Membership MembershipOptions
	Releases   ReleaseOptions
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		ListenAddress: "127.0.0.1:8080", AdminAddress: "127.0.0.1:8081", PeerAddress: "127.0.0.1:8082",
		PlatformURL: "http://127.0.0.1:8090", DrainTimeout: 30 * time.Second,
		LogLevel: "info", RefusalLogsPerSecond: 50, SpanExporterName: telemetry.ExportNone, SpanSampleRatio: 1,
		Requests:      DefaultRequestOptions(),
		Policy:        defaultPolicyOptions(),
		Membership:    defaultMembersOptions(),
		callerOptions: defaultCallerOptions(),
		Releases:      defaultReleaseOptions(),
	}
}

// Register adds every setting to set.
func (o *Options) Register(set *settings.Set) {
	set.String(&o.Name, "name", "name of this entry host", settings.Required)
	set.String(&o.Domain, "domain", "failure domain of this entry host", settings.Required)
	set.String(&o.Region, "region", "region of this entry host", settings.Required)
	set.String(&o.ListenAddress, "listen", "callers' address, host:port", address)
	set.String(&o.AdminAddress, "admin", "operators' address, host:port; without a token loopback only", address)
	set.String(&o.PeerAddress, "peer", "address for other entry hosts, host:port", address)
	set.String(&o.PeerSeeds, "peers", "peer addresses of other entry hosts, separated by commas", addresses)
	set.String(&o.PlatformURL, "platform", "base URL of the platform's object API", baseURL)
	set.Secret(&o.PlatformToken, "platform-token", "bearer token for the platform")
	set.Secret(&o.AdminToken, "admin-token", "bearer token that admin calls need")
	set.Secret(&o.PeerSecret, "peer-secret", "secret that entry hosts prove to each other")
	set.Duration(&o.DrainDelay, "drain-delay", "time from readiness going false to the first refusal, for the balancer to notice", 0, time.Minute)
	set.Duration(&o.DrainTimeout, "drain-timeout", "longest wait for requests in flight at shutdown", time.Second, 10*time.Minute)
	set.String(&o.LogLevel, "log-level", "debug, info, warn or error", settings.OneOf("debug", "info", "warn", "error"))
	set.Bool(&o.LogJSON, "log-json", "write logs as JSON")
	set.Int(&o.RefusalLogsPerSecond, "log-refusals", "log lines a second about error answers", 0, 100000)
	set.String(&o.SpanExporterName, "spans", "span exporter: none, stdout or otlp", settings.OneOf(telemetry.ExportNone, telemetry.ExportStdout, telemetry.ExportOTLP))
	set.String(&o.OTLPEndpoint, "spans-to", "OTLP collector, host:port", nil)
	set.Float(&o.SpanSampleRatio, "spans-share", "share of requests traced", 0, 1)
	o.callerOptions.register(set)
	o.tlsOptions.register(set)
	o.Requests.register(set)
	o.Policy.register(set)
	o.Membership.register(set)
	o.Releases.register(set)
}

func address(v string) error {
	if _, _, err := net.SplitHostPort(v); err != nil {
		return fmt.Errorf("%q is not host:port", v)
	}
	return nil
}

func addresses(list string) error {
	if list == "" {
		return nil
	}
	var faults []error
	for _, v := range strings.Split(list, ",") {
		faults = append(faults, address(strings.TrimSpace(v)))
	}
	return errors.Join(faults...)
}

func baseURL(v string) error {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fmt.Errorf("%q is not a base URL such as http://10.0.0.1:8090", v)
	}
	return nil
}

// Check reports every fault between settings.
func (o *Options) Check() error {
	faults := []error{o.tlsOptions.check(), o.callerOptions.check(), o.distinctPorts(), o.checkPeer(), o.Requests.BackendHeaders.Check()}
	if o.AdminToken == "" && !loopback(o.AdminAddress) {
		faults = append(faults, errors.New("--admin: an address other than loopback needs --admin-token"))
	}
	if o.SpanExporterName == telemetry.ExportOTLP {
		if err := address(o.OTLPEndpoint); err != nil {
			faults = append(faults, fmt.Errorf("--spans-to: %w; the exporter otlp needs its collector", err))
		}
	}
	return errors.Join(faults...)
}

// distinctPorts finds two ports of one address; port 0 is any free one.
func (o *Options) distinctPorts() error {
	seen := map[string]string{}
	var faults []error
	for _, p := range []struct{ name, addr string }{{"listen", o.ListenAddress}, {"admin", o.AdminAddress}, {"peer", o.PeerAddress}} {
		if other, dup := seen[p.addr]; dup && !strings.HasSuffix(p.addr, ":0") {
			faults = append(faults, fmt.Errorf("--%s: %s is also --%s", p.name, p.addr, other))
		}
		seen[p.addr] = p.name
	}
	return errors.Join(faults...)
}

func loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
