package entryhost

import (
	"errors"
	"fmt"
	"net/textproto"
	"strings"
	"time"

	"bilberrydale/internal/settings"
	"bilberrydale/request/entry"
)

// callerOptions are the settings of the callers' port: header names, size limits
// and timeouts.
type callerOptions struct {
	// HealthPath is the path on the callers' port at which the balancer reads the
	// readiness. It takes precedence over routes. Empty: none.
	HealthPath string

	Headers        entry.Headers
	MaxBodyBytes   int // bytes of a request's body
	MaxHeaderBytes int // bytes of a request's headers
	MaxKeyBytes    int // bytes of an idempotency key
	MaxInFlight    int // requests; further ones are refused unread

	ReadHeaderTimeout time.Duration // for reading a request's headers
	ReadTimeout       time.Duration // for reading a whole request
	IdleTimeout       time.Duration // between two requests on a connection
}

func defaultCallerOptions() callerOptions {
	limits := entry.DefaultLimits()
	return callerOptions{
		HealthPath: "/healthz", Headers: entry.DefaultHeaders(),
		MaxBodyBytes: int(limits.Body), MaxKeyBytes: limits.Key, MaxHeaderBytes: 32 << 10, MaxInFlight: 4096,
		ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: time.Minute,
	}
}

func (o *callerOptions) registerSettings(set *settings.Set) {
	set.String(&o.HealthPath, "health-path", "path on the callers' port at which the balancer reads the readiness; empty: none", nil)
	set.String(&o.Headers.RequestID, "header-request-id", "callers' header with the request id", validateHeaderName)
	set.String(&o.Headers.Account, "header-account", "callers' header with the client account", validateHeaderName)
	set.String(&o.Headers.Timeout, "header-timeout", "callers' header with a timeout; it can only shorten the route's deadline", validateHeaderName)
	set.String(&o.Headers.Key, "header-key", "callers' header with the idempotency key", validateHeaderName)
	set.Int(&o.MaxBodyBytes, "max-body", "maximum bytes of a request's body", 1, 1<<30)
	set.Int(&o.MaxHeaderBytes, "max-header", "maximum bytes of a request's headers", 1<<10, 1<<20)
	set.Int(&o.MaxKeyBytes, "max-key", "maximum bytes of an idempotency key", 1, 4096)
	set.Int(&o.MaxInFlight, "max-active", "maximum requests in flight; further ones are refused unread", 1, 1000000)
	set.Duration(&o.ReadHeaderTimeout, "header-read-timeout", "longest time to read a request's headers", 100*time.Millisecond, time.Minute)
	set.Duration(&o.ReadTimeout, "read-timeout", "longest time to read a whole request", 100*time.Millisecond, 10*time.Minute)
	set.Duration(&o.IdleTimeout, "idle-timeout", "longest idle time of a caller's connection", time.Second, 10*time.Minute)
}

// validateHeaderName returns an error if v is empty or contains a separator.
func validateHeaderName(v string) error {
	if v == "" || strings.ContainsAny(v, " :,\t\r\n") {
		return fmt.Errorf("%q is not a header name", v)
	}
	return nil
}

// check returns an error if two settings name the same header, regardless of
// letter case, or if the health path is not absolute.
func (o *callerOptions) check() error {
	seen := map[string]bool{}
	var errs []error
	for _, h := range []string{o.Headers.RequestID, o.Headers.Account, o.Headers.Timeout, o.Headers.Key} {
		name := textproto.CanonicalMIMEHeaderKey(h)
		if seen[name] {
			errs = append(errs, fmt.Errorf("--header-*: %s is used twice", name))
		}
		seen[name] = true
	}
	if o.HealthPath != "" && !strings.HasPrefix(o.HealthPath, "/") {
		errs = append(errs, fmt.Errorf("--health-path: %q does not start with /", o.HealthPath))
	}
	return errors.Join(errs...)
}

// entryLimits returns the limits of package entry with this host's sizes.
func (o *callerOptions) entryLimits() entry.Limits {
	l := entry.DefaultLimits()
	l.Body, l.Key = int64(o.MaxBodyBytes), o.MaxKeyBytes
	return l
}
