package backend

import (
	"errors"
	"fmt"
	"net/textproto"
	"strings"
)

// Default names of the headers between entry hosts and backend servers.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderStage       = "X-Stage"
	HeaderAttempt     = "X-Attempt"
	HeaderHost        = "X-Entry-Host"
	HeaderIncarnation = "X-Entry-Incarnation"
	HeaderAccount     = "X-Client-Account"
	HeaderPriority    = "X-Priority"
	HeaderKey         = "X-Operation-Key"
	HeaderMethod      = "X-Original-Method"
	HeaderURI         = "X-Original-Uri"
	HeaderResume      = "X-Resume-Offset"
	HeaderNotStarted  = "X-Not-Started"
	HeaderLeaving     = "X-Server-Leaving"
	HeaderRateLimit   = "X-Server-Rate-Limit"
	HeaderMaxRefusals = "X-Server-Max-Refusals"
	HeaderVersion     = "X-Server-Version"
)

// Headers are the names of the headers between entry hosts and backend servers. A backend
// server must return RequestID, Stage and Attempt on each response.
type Headers struct {
	RequestID, Stage, Attempt string
	Host, Incarnation         string
	Account, Priority, Key    string
	Method, URI               string
	Resume                    string
	NotStarted                string // "true" on an error response: the work was not started
	Leaving                   string // "true" on any response: the server is leaving
	RateLimit                 string // on any response: requests per second that the server takes from all entry hosts
	MaxRefusals               string // on any response: refusals per second beyond which the server falls over
	Version                   string // on a streamed response: version of the server's software
}

// DefaultHeaders returns the default names.
func DefaultHeaders() Headers {
	return Headers{
		RequestID: HeaderRequestID, Stage: HeaderStage, Attempt: HeaderAttempt,
		Host: HeaderHost, Incarnation: HeaderIncarnation,
		Account: HeaderAccount, Priority: HeaderPriority, Key: HeaderKey,
		Method: HeaderMethod, URI: HeaderURI, Resume: HeaderResume,
		NotStarted: HeaderNotStarted, Leaving: HeaderLeaving, RateLimit: HeaderRateLimit, MaxRefusals: HeaderMaxRefusals, Version: HeaderVersion,
	}
}

// Each calls f for every header with the name of its setting, a pointer to the header's
// name and a description.
func (n *Headers) Each(f func(setting string, name *string, meaning string)) {
	f("request-id", &n.RequestID, "request id, returned on responses")
	f("stage", &n.Stage, "stage, returned on responses")
	f("attempt", &n.Attempt, "attempt, returned on responses")
	f("host", &n.Host, "entry host")
	f("incarnation", &n.Incarnation, "entry host's incarnation")
	f("account", &n.Account, "client account")
	f("priority", &n.Priority, "priority, 0 is the most urgent")
	f("key", &n.Key, "operation key, for servers that detect repeats themselves")
	f("method", &n.Method, "method of the caller's request")
	f("uri", &n.URI, "path and query of the caller's request")
	f("resume", &n.Resume, "offset from which a stream continues")
	f("not-started", &n.NotStarted, "on an error response: the work was not started")
	f("leaving", &n.Leaving, "on a response: the server is leaving")
	f("rate-limit", &n.RateLimit, "on a response: requests per second that the server takes from all entry hosts")
	f("version", &n.Version, "on a streamed response: version of the server's software")
	f("max-refusals", &n.MaxRefusals, "refusals per second beyond which the server falls over, on responses")
}

// CheckHeader rejects invalid names, names that HTTP reserves and names that make the
// transport of net/http retry requests. With one of the latter, even a POST without a body
// is sent again when a reused connection breaks, and a non-repeatable stage runs twice.
func CheckHeader(name string) error {
	if name == "" || strings.ContainsAny(name, " :,\t\r\n") {
		return fmt.Errorf("%q is not a header name", name)
	}
	switch textproto.CanonicalMIMEHeaderKey(name) {
	case "Idempotency-Key", "X-Idempotency-Key":
		return fmt.Errorf("%s makes the HTTP client retry requests; use another name, such as %s", name, HeaderKey)
	case "Content-Type", "Content-Length", "Host", "Connection", "Transfer-Encoding":
		return fmt.Errorf("%s is reserved by HTTP; use another name", name)
	}
	return nil
}

// Check returns an error if two settings name the same header. Names are compared without
// regard to case.
func (n *Headers) Check() error {
	seen := map[string]string{}
	var errs []error
	n.Each(func(setting string, name *string, _ string) {
		header := textproto.CanonicalMIMEHeaderKey(*name)
		if other, dup := seen[header]; dup {
			errs = append(errs, fmt.Errorf("--server-header-%s: %s is used twice, also as --server-header-%s", setting, header, other))
		}
		seen[header] = setting
	})
	return errors.Join(errs...)
}
