package gateway

import (
	"fmt"
	"net/http"
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/process/errkind"
)

// impliesNotRun reports whether clients take the status as proof that their request did not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeError writes the error response, or marks the connection to be aborted if it is too
// late for one.
func (x *exchange) writeError(e *errkind.Error) {
	advice := errkind.Lookup(e.Kind)
	x.logEntry.Kind, x.logEntry.Ran, x.logEntry.Detail = e.Kind, e.Ran(), e.Detail
	if x.headersSent || x.abort {
		x.abort = true
		return
	}
	status := advice.Status
	if impliesNotRun(status) && e.Ran() != errkind.RanNo {
		// The status would claim that the request did not run, which is not certain.
		status = http.StatusBadGateway
	}
	h := x.w.Header()
	h["Date"] = nil
	h["Content-Type"] = []string{"application/problem+json"}
	x.opts.Headers.SetAttemptID(h, x.clientRequest.AttemptID)
	if wait := e.RetryDelay(); wait > 0 && impliesNotRun(status) {
		x.logEntry.RetryAfter = wait
		x.opts.Headers.SetRetryAfter(h, wait)
	}
	x.closeIfShuttingDown(h)
	if x.bodyUnread {
		// net/http would read the rest of the body before it answers, and the client may send none.
		h["Connection"] = []string{"close"}
	}
	x.logEntry.Status = status
	x.w.WriteHeader(status)
	// A write error only means that the client has disconnected.
	_, _ = fmt.Fprintf(x.w, `{"kind":%q,"ran":%q,"title":%q}`, e.Kind, e.Ran(), advice.Title)
}

// closeIfShuttingDown asks the client to close its connection if the process is shutting
// down.
func (x *exchange) closeIfShuttingDown(h http.Header) {
	if x.opts.ShuttingDown() {
		h["Connection"] = []string{"close"}
	}
}

// checkServable refuses a request that no server can run now, before any work is done for
// it.
func (x *exchange) checkServable() error {
	if x.allowed.Empty() {
		return errkind.New(errkind.NoRegion, "route %s allows %v, account %s %v", x.route.Name, x.allowed.RouteRegions, x.account, x.allowed.AccountRegions)
	}
	now, candidates := x.opts.Clock.Now(), x.candidates()
	if candidates.Empty() {
		return x.noServerError("takes work", noServerRetryAfter)
	}
	if err := x.refusedForPause(newAttemptHistory()); err != nil {
		return err
	}
	responsive := func(s *directory.Server) bool { return !s.InBackoff(now) }
	if x.allowed.Restricted() && !candidates.Any(responsive) {
		// All permitted servers have recently failed, and no other region may serve the
		// request: waiting for them would only use up the client's time.
		return x.noServerError("answers", noServerRetryAfter)
	}
	return nil
}

// noUsableServer returns the error of a request for which no attempt was made.
func (x *exchange) noUsableServer() error {
	if x.candidates().Empty() {
		return x.noServerError("takes work", noServerRetryAfter)
	}
	x.recordNoRoom()
	// Another host may have some of its share of the servers left.
	return x.noServerError("takes more from this host now", limitedRetryAfter)
}

// noServerError returns the error that no server permitted for the request satisfies the
// predicate, which is the end of the sentence in the detail text.
func (x *exchange) noServerError(predicate string, retryAfter time.Duration) error {
	where := ""
	if !x.writer.IsZero() {
		where = " of version " + x.writer.Version
	}
	if x.allowed.Restricted() {
		where += " in a permitted region"
	}
	e := errkind.New(errkind.NoBackend, "no server of %s%s %s", x.service, where, predicate)
	e.RetryAfter = x.jitter(retryAfter)
	return e
}
