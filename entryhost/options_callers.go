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

// callerOptions are the settings of the callers' port: names, bounds, times.
type callerOptions struct {
	// HealthPath is answered on the callers' port for the platform's balancer;
	// it goes before the table of routes.
	HealthPath string

	Headers        entry.Headers
	MaxBodyBytes   int // bytes
	MaxHeaderBytes int // bytes of all headers of a request
	MaxKeyBytes    int // bytes of the idempotency key
	MaxInFlight    int // requests in the host at once

	ReadHeaderTimeout time.Duration // for a request's headers
	ReadTimeout       time.Duration // for a whole request
	IdleTimeout       time.Duration // between two requests of a connection
}

func defaultCallerOptions() callerOptions {
	limits := entry.DefaultLimits()
	return callerOptions{
		HealthPath: "/healthz", Headers: entry.DefaultHeaders(),
		MaxBodyBytes: int(limits.Body), MaxKeyBytes: limits.Key, MaxHeaderBytes: 32 << 10, MaxInFlight: 4096,
		ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: time.Minute,
	}
}

func (o *callerOptions) register(set *settings.Set) {
	set.String(&o.HealthPath, "health-path", "path on the callers' port that tells the balancer of readiness; empty: none", nil)
	set.String(&o.Headers.RequestID, "header-request-id", "callers' header of the request id", headerName)
	set.String(&o.Headers.Account, "header-account", "callers' header of the client account", headerName)
	set.String(&o.Headers.Timeout, "header-timeout", "callers' header that shortens the deadline", headerName)
	set.String(&o.Headers.Key, "header-key", "callers' header of the idempotency key", headerName)
	set.Int(&o.MaxBodyBytes, "max-body", "bytes of a request's body", 1, 1<<30)
	set.Int(&o.MaxHeaderBytes, "max-header", "bytes of a request's headers", 1<<10, 1<<20)
	set.Int(&o.MaxKeyBytes, "max-key", "bytes of an idempotency key", 1, 4096)
	set.Int(&o.MaxInFlight, "max-active", "requests in the host at once; more are refused unread", 1, 1000000)
	set.Duration(&o.ReadHeaderTimeout, "header-read-timeout", "longest time to read a request's headers", 100*time.Millisecond, time.Minute)
	set.Duration(&o.ReadTimeout, "read-timeout", "longest time to read a whole request", 100*time.Millisecond, 10*time.Minute)
	set.Duration(&o.IdleTimeout, "idle-timeout", "longest idle time of a caller's connection", time.Second, 10*time.Minute)
}

func headerName(v string) error {
	if v == "" || strings.ContainsAny(v, " :,\t\r\n") {
		return fmt.Errorf("%q is not a header name", v)
	}
	return nil
}

// check finds two settings that name the same header, in any case of letters.
func (o *callerOptions) check() error {
	seen := map[string]bool{}
	var faults []error
	for _, h := range []string{o.Headers.RequestID, o.Headers.Account, o.Headers.Timeout, o.Headers.Key} {
		name := textproto.CanonicalMIMEHeaderKey(h)
		if seen[name] {
			faults = append(faults, fmt.Errorf("--header-*: %s is used twice", name))
		}
		seen[name] = true
	}
	if o.HealthPath != "" && !strings.HasPrefix(o.HealthPath, "/") {
		faults = append(faults, fmt.Errorf("--health-path: %q does not start with /", o.HealthPath))
	}
	return errors.Join(faults...)
}

func (o *callerOptions) limits() entry.Limits {
	l := entry.DefaultLimits()
	l.Body, l.Key = int64(o.MaxBodyBytes), o.MaxKeyBytes
	return l
}
