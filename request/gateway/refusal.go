package gateway

import (
	"fmt"
	"net/http"
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/process/kind"
)

// promised are statuses by which a client takes its request for not run.
func promised(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// answerError writes the one answer of a request that has no other.
func (x *exchange) answerError(e *kind.Error) {
	advice := kind.Lookup(e.Kind)
	x.rec.Kind, x.rec.Ran, x.rec.Detail = e.Kind, e.Ran(), e.Detail
	if x.begun || x.abort {
		x.abort = true
		return
	}
	status := advice.Status
	if promised(status) && e.Ran() != kind.RanNo {
		// These say "not run", which is not known here.
		status = http.StatusBadGateway
	}
	h := x.w.Header()
	h["Date"] = nil
	h["Content-Type"] = []string{"application/problem+json"}
	x.opts.Headers.SetAttemptID(h, x.client.AttemptID)
	if wait := e.Wait(); wait > 0 && promised(status) {
		x.rec.RetryAfter = wait
		x.opts.Headers.SetRetryAfter(h, wait)
	}
	x.closeIfLeaving(h)
	x.rec.Status = status
	x.w.WriteHeader(status)
	// The client may be gone; there is nobody else to tell.
	_, _ = fmt.Fprintf(x.w, `{"kind":%q,"ran":%q,"title":%q}`, e.Kind, e.Ran(), advice.Title)
}

func (x *exchange) closeIfLeaving(h http.Header) {
	if x.opts.ShuttingDown() {
		h["Connection"] = []string{"close"}
	}
}

// servable refuses a request that no server can run now, before any work is done for it.
func (x *exchange) servable() error {
	if x.allowed.Empty() {
		return kind.New(kind.NoRegion, "route %s allows %v, account %s %v", x.route.Name, x.allowed.RouteRegions, x.account, x.allowed.AccountRegions)
	}
	now, c := x.opts.Clock.Now(), x.candidates()
	if c.Empty() {
		return x.noServer("takes work", noServerRetry)
	}
	answers := func(s *directory.Server) bool { return !s.InBackoff(now) }
	if x.allowed.Restricted() && !c.Any(answers) {
		// Nobody elsewhere can stand in for servers that a moment ago did not answer: a
		// wait for them would only use up the client's time.
		return x.noServer("answers", noServerRetry)
	}
	return nil
}

// unplaced is the answer to a request that no server was given.
func (x *exchange) unplaced() error {
	if x.candidates().Empty() {
		return x.noServer("takes work", noServerRetry)
	}
	// Another host may have its share of them left.
	return x.noServer("takes more while it is cold", coldRetry)
}

// noServer says that no server that the request may use does something.
func (x *exchange) noServer(does string, retry time.Duration) error {
	where := ""
	if x.allowed.Restricted() {
		where = " in a permitted region"
	}
	e := kind.New(kind.NoBackend, "no server of %s%s %s", x.service, where, does)
	e.RetryAfter = x.spread(retry)
	return e
}

// drainingRetry is short: another host takes the request at once.
const drainingRetry = 50 * time.Millisecond
