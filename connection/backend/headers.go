package backend

import (
	"errors"
	"fmt"
	"net/textproto"
	"strings"
)

// Default header names of the hop to a backend server.
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
)

// Headers are the names of the hop's headers. A backend server has to send the
// first three back on each answer.
type Headers struct {
	RequestID, Stage, Attempt string
	Host, Incarnation         string
	Account, Priority, Key    string
	Method, URI               string
	Resume                    string
	NotStarted                string // on a refusal: the work was not started
	Leaving                   string // on any answer: the server takes its leave
}

// DefaultHeaders returns the default names.
func DefaultHeaders() Headers {
	return Headers{
		RequestID: HeaderRequestID, Stage: HeaderStage, Attempt: HeaderAttempt,
		Host: HeaderHost, Incarnation: HeaderIncarnation,
		Account: HeaderAccount, Priority: HeaderPriority, Key: HeaderKey,
		Method: HeaderMethod, URI: HeaderURI, Resume: HeaderResume,
		NotStarted: HeaderNotStarted, Leaving: HeaderLeaving,
	}
}

// Each calls f with the setting's name, the header's name and its meaning.
func (n *Headers) Each(f func(setting string, name *string, meaning string)) {
	f("request-id", &n.RequestID, "request id, sent back on answers")
	f("stage", &n.Stage, "stage, sent back on answers")
	f("attempt", &n.Attempt, "attempt, sent back on answers")
	f("host", &n.Host, "entry host")
	f("incarnation", &n.Incarnation, "entry host's incarnation")
	f("account", &n.Account, "client account")
	f("priority", &n.Priority, "priority, 0 is the most urgent")
	f("key", &n.Key, "operation, for servers that check repeats themselves")
	f("method", &n.Method, "method of the caller's request")
	f("uri", &n.URI, "path and query of the caller's request")
	f("resume", &n.Resume, "offset from which a stream continues")
	f("not-started", &n.NotStarted, "on a refusal: the work was not started")
	f("leaving", &n.Leaving, "on an answer: the server leaves")
}

// CheckHeader refuses a name that makes net/http's transport repeat requests
// by itself: with one of them even a POST without a body is sent again when a
// kept connection breaks, and a stage that must not be repeated runs twice.
func CheckHeader(name string) error {
	if name == "" || strings.ContainsAny(name, " :,\t\r\n") {
		return fmt.Errorf("%q is not a header name", name)
	}
	switch textproto.CanonicalMIMEHeaderKey(name) {
	case "Idempotency-Key", "X-Idempotency-Key":
		return fmt.Errorf("%s makes the HTTP client repeat requests; use another name, such as %s", name, HeaderKey)
	case "Content-Type", "Content-Length", "Host", "Connection", "Transfer-Encoding":
		return fmt.Errorf("%s belongs to HTTP; use another name", name)
	}
	return nil
}

// Check finds two settings that name the same header, in any case of letters.
func (n *Headers) Check() error {
	seen := map[string]string{}
	var faults []error
	n.Each(func(setting string, name *string, _ string) {
		header := textproto.CanonicalMIMEHeaderKey(*name)
		if other, dup := seen[header]; dup {
			faults = append(faults, fmt.Errorf("--server-header-%s: %s is used twice, also as --server-header-%s", setting, header, other))
		}
		seen[header] = setting
	})
	return errors.Join(faults...)
}
