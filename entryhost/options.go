// Package entryhost assembles the daemon of an entry host from the packages of
// the four lifetimes: request, connection, version and process. It is the library
// behind cmd/bilberryd and may import all of them.
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

// Options are the settings of an entry host. Start from DefaultOptions, which sets
// all defaults; Name, Domain and Region have none and are required.
type Options struct {
	Name   string // of this entry host; unique among all entry hosts
	Domain string // failure domain
	Region string

	ListenAddress string // for callers, host:port
	AdminAddress  string // for operators, host:port; loopback only without AdminToken
	PeerAddress   string // for other entry hosts, host:port; loopback only without PeerSecret
	PeerSeeds     string // peer addresses of other entry hosts to connect to first, separated by commas

	PlatformURL   string // base URL of the object API
	PlatformToken string // bearer token for the platform
	AdminToken    string // bearer token for calls to the admin port
	PeerSecret    string // shared by all entry hosts

	// DrainDelay is the time between readiness turning false and the first
	// refusal, in which the balancer takes this host out of service.
	DrainDelay           time.Duration
	DrainTimeout         time.Duration // longest wait for requests in flight at shutdown
	LogLevel             string        // debug, info, warn or error
	LogJSON              bool
	RefusalLogsPerSecond int     // limit of log lines per second about error responses
	SpanExporterName     string  // one of the Export constants of package telemetry
	OTLPEndpoint         string  // address of the collector, host:port; required by telemetry.ExportOTLP only
	SpanSampleRatio      float64 // share of requests that are traced, 0 to 1
	// SpanExporter, if set, is used instead of the exporter with SpanExporterName.
	SpanExporter sdktrace.SpanExporter

	callerOptions
	tlsOptions

	Requests   RequestOptions
	Policy     PolicyOptions
	Membership MembershipOptions
	Releases   ReleaseOptions
}

// DefaultOptions returns the defaults of all settings.
func DefaultOptions() Options {
	return Options{
		ListenAddress: "127.0.0.1:8080", AdminAddress: "127.0.0.1:8081", PeerAddress: "127.0.0.1:8082",
		PlatformURL: "http://127.0.0.1:8090", DrainTimeout: 30 * time.Second,
		LogLevel: "info", RefusalLogsPerSecond: 50, SpanExporterName: telemetry.ExportNone, SpanSampleRatio: 1,
		Requests:      DefaultRequestOptions(),
		Policy:        defaultPolicyOptions(),
		Membership:    defaultMembershipOptions(),
		callerOptions: defaultCallerOptions(),
		Releases:      defaultReleaseOptions(),
	}
}

// Register adds all settings to set, which writes their values to o.
func (o *Options) Register(set *settings.Set) {
	set.String(&o.Name, "name", "name of this entry host", settings.Required)
	set.String(&o.Domain, "domain", "failure domain of this entry host", settings.Required)
	set.String(&o.Region, "region", "region of this entry host", settings.Required)
	set.String(&o.ListenAddress, "listen", "address for callers, host:port", validateAddress)
	set.String(&o.AdminAddress, "admin", "address for operators, host:port; without --admin-token loopback only", validateAddress)
	set.String(&o.PeerAddress, "peer", "address for other entry hosts, host:port; without --peer-secret loopback only", validateAddress)
	set.String(&o.PeerSeeds, "peers", "peer addresses of other entry hosts, separated by commas", validateAddresses)
	set.String(&o.PlatformURL, "platform", "base URL of the platform's object API", validateBaseURL)
	set.Secret(&o.PlatformToken, "platform-token", "bearer token for the platform")
	set.Secret(&o.AdminToken, "admin-token", "bearer token required for calls to the admin port")
	set.Secret(&o.PeerSecret, "peer-secret", "shared secret by which entry hosts authenticate each other")
	set.Duration(&o.DrainDelay, "drain-delay", "time from readiness turning false to the first refusal, in which the balancer takes the host out of service", 0, time.Minute)
	set.Duration(&o.DrainTimeout, "drain-timeout", "longest wait for requests in flight at shutdown", time.Second, 10*time.Minute)
	set.String(&o.LogLevel, "log-level", "debug, info, warn or error", settings.OneOf("debug", "info", "warn", "error"))
	set.Bool(&o.LogJSON, "log-json", "write logs as JSON")
	set.Int(&o.RefusalLogsPerSecond, "log-refusals", "log lines per second about error responses", 0, 100000)
	set.String(&o.SpanExporterName, "spans", "span exporter: none, stdout or otlp", settings.OneOf(telemetry.ExportNone, telemetry.ExportStdout, telemetry.ExportOTLP))
	set.String(&o.OTLPEndpoint, "spans-to", "address of the OTLP collector, host:port", nil)
	set.Float(&o.SpanSampleRatio, "spans-share", "share of requests that are traced", 0, 1)
	o.callerOptions.registerSettings(set)
	o.tlsOptions.registerSettings(set)
	o.Requests.registerSettings(set)
	o.Policy.registerSettings(set)
	o.Membership.registerSettings(set)
	o.Releases.registerSettings(set)
}

// validateAddress returns an error unless v has the form host:port.
func validateAddress(v string) error {
	if _, _, err := net.SplitHostPort(v); err != nil {
		return fmt.Errorf("%q is not host:port", v)
	}
	return nil
}

// validateAddresses applies validateAddress to each entry of a comma-separated
// list. The empty list is valid.
func validateAddresses(list string) error {
	if list == "" {
		return nil
	}
	var errs []error
	for _, v := range strings.Split(list, ",") {
		errs = append(errs, validateAddress(strings.TrimSpace(v)))
	}
	return errors.Join(errs...)
}

// validateBaseURL returns an error unless v is an HTTP or HTTPS URL with a host.
func validateBaseURL(v string) error {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fmt.Errorf("%q is not a base URL such as http://10.0.0.1:8090", v)
	}
	return nil
}

// Check returns all conflicts between settings, joined into one error. It also
// loads the certificates.
func (o *Options) Check() error {
	errs := []error{o.tlsOptions.check(), o.callerOptions.check(), o.checkDistinctPorts(), o.checkPeerAddress(), o.Requests.BackendHeaders.Check()}
	if o.AdminToken == "" && !isLoopback(o.AdminAddress) {
		errs = append(errs, errors.New("--admin: an address other than loopback needs --admin-token"))
	}
	if o.SpanExporterName == telemetry.ExportOTLP {
		if err := validateAddress(o.OTLPEndpoint); err != nil {
			errs = append(errs, fmt.Errorf("--spans-to: %w; the exporter otlp needs its collector", err))
		}
	}
	return errors.Join(errs...)
}

// checkDistinctPorts returns an error if two listeners have the same address.
// Addresses with port 0 may be equal: each gets a free port.
func (o *Options) checkDistinctPorts() error {
	seen := map[string]string{}
	var errs []error
	for _, p := range []struct{ name, addr string }{{"listen", o.ListenAddress}, {"admin", o.AdminAddress}, {"peer", o.PeerAddress}} {
		if other, dup := seen[p.addr]; dup && !strings.HasSuffix(p.addr, ":0") {
			errs = append(errs, fmt.Errorf("--%s: %s is also --%s", p.name, p.addr, other))
		}
		seen[p.addr] = p.name
	}
	return errors.Join(errs...)
}

// isLoopback reports whether the host of addr is localhost or a loopback IP.
func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
